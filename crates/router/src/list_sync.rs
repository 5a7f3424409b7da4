//! Polls the platform's membership list.

use crate::metrics::Traffic;
use crate::shared::{Shared, lock};
use rand::RngExt;
use sequoiaridge_core::{EndpointId, Event, Member, Role};
use sequoiaridge_log as event;
use sequoiaridge_membership::MemberInfo;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Mean time between two fetches of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Approximate size of a request and its response head, for the count of control traffic.
const EXCHANGE_BYTES: usize = 400;

/// Polls the list until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    let mut first = true;
    let mut logged_problems = 0;
    loop {
        match shared.member_list.fetch().await {
            Ok(fetched) => {
                shared.platform_answered();
                shared.metrics.sent(Traffic::List, EXCHANGE_BYTES / 2);
                shared
                    .metrics
                    .received(Traffic::List, EXCHANGE_BYTES / 2 + fetched.bytes);
                let list = &fetched.list;
                if list.problems.len() != logged_problems {
                    list.problems
                        .iter()
                        .for_each(|problem| tracing::warn!("{problem}"));
                    logged_problems = list.problems.len();
                }
                if fetched.changed {
                    apply_list(&shared, list.members.clone(), first);
                }
                first = false;
            }
            Err(error) => shared.platform_failed(&error.to_string()),
        }
        let pause = POLL_INTERVAL.mul_f64(shared.rng().random_range(0.75..1.25));
        tokio::select! {
            () = &mut stopped => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Applies a list. Endpoints that are new in it count as joined, except in the first list.
fn apply_list(shared: &Shared, list: Vec<Member>, first: bool) {
    let now = shared.now();
    let (routers, endpoints): (Vec<Member>, Vec<Member>) = list
        .into_iter()
        .partition(|member| member.role == Role::Router);
    let routers: Vec<MemberInfo> = routers
        .into_iter()
        .filter(|member| &member.id != shared.id())
        .map(|member| MemberInfo {
            id: member.id,
            addr: member.address,
            domain: member.domain,
            region: member.region,
        })
        .collect();
    let endpoints: BTreeMap<EndpointId, Member> = endpoints
        .into_iter()
        .map(|member| (member.id.clone(), member))
        .collect();
    let mut added = Vec::new();
    {
        let mut members = lock(&shared.listed_endpoints);
        if *members.endpoints != endpoints {
            let joined = endpoints
                .keys()
                .filter(|id| !members.endpoints.contains_key(*id));
            added.extend(joined.cloned());
            members.generation += 1;
            members.endpoints = Arc::new(endpoints);
            shared.view_stale.store(true, Ordering::Relaxed);
        }
    }
    lock(&shared.detector).set_list(&routers, now);
    if first {
        return;
    }
    for id in added {
        shared.note_joined(&id);
        event::log(Event::EndpointJoined, &id);
    }
}
