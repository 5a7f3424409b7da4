//! What the models of fleets have in common: prompts, candidates and reports of load.
#![allow(dead_code)]

use sequoiaridge_edge::{CacheMap, Candidate, EndpointLoad, Part, Prompt, prefixes};
use std::time::Duration;

/// A use of a subject that other routers do not know yet: time, subject and endpoint.
pub type Use = (Duration, u64, usize);

/// A prompt whose subject makes up most of its tokens.
pub fn prompt(subject: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_string(),
        input: 11_300,
        output: 100,
        parts: vec![
            part(1, 512),
            part(1000 + subject, 10_000),
            part(u64::MAX, 800),
        ],
    }
}

/// Makes uses that are 2 s old known to all.
pub fn announce(uses: &mut Vec<Use>, ids: &[String], cache: &mut CacheMap, now: Duration) {
    let heard = now.saturating_sub(Duration::from_secs(2));
    for (_, subject, endpoint) in uses.extract_if(.., |(at, ..)| *at <= heard) {
        for prefix in prefixes(&prompt(subject)).iter().filter(|p| p.shared) {
            cache.record_remote(prefix.key, &ids[endpoint], now);
        }
    }
}

/// A candidate in another domain that may run any request, at the usual pace and with nothing cached.
pub fn candidate(id: &str, slots: u32, requests: u32) -> Candidate<'_> {
    Candidate {
        id,
        slots,
        requests,
        unread: 0,
        cached: 0,
        eligible: true,
        leaving: false,
        same_domain: false,
        avoid: false,
        resting: false,
        excluded: false,
        limit: None,
        pace: 1.0,
    }
}

/// What an endpoint with `requests` reports of its load.
pub fn load_report(requests: u32, slots: u32) -> EndpointLoad {
    EndpointLoad {
        running: requests.min(slots),
        waiting: requests.saturating_sub(slots),
        slots,
        pace_percent: None,
    }
}
