//! Metrics of one router, described in docs/metrics.md.
//!
//! Label sets are bounded: classes and reasons are labels; customers are not, because there may be
//! thousands of them.

mod summary;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use sequoiaridge_core::{MAX_CLASSES, RefusalReason, RetryReason, Verdict};
use sequoiaridge_store::LedgerStats;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ClassLabel {
    class: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    class: String,
    verdict: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TrafficLabel {
    kind: &'static str,
    direction: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

type Histograms = Family<ClassLabel, Histogram, fn() -> Histogram>;

/// Kinds of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    Gossip,
    Probe,
    Notice,
    Config,
    List,
}

impl Traffic {
    const ALL: [Traffic; 5] = [
        Traffic::Gossip,
        Traffic::Probe,
        Traffic::Notice,
        Traffic::Config,
        Traffic::List,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Traffic::Gossip => "gossip",
            Traffic::Probe => "probe",
            Traffic::Notice => "notice",
            Traffic::Config => "config",
            Traffic::List => "list",
        }
    }
}

/// Counters, gauges and histograms of one router.
pub(crate) struct Metrics {
    registry: Registry,
    classes: Mutex<BTreeSet<String>>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    calls: Family<OutcomeLabel, Counter>,
    control: Family<TrafficLabel, Counter>,
    rejected: Family<ReasonLabel, Counter>,
    claims: Family<KindLabel, Gauge>,
    first_token: Histograms,
    between_tokens: Histograms,
    pub(crate) attempts: Counter,
    pub(crate) prompt_tokens: Counter,
    pub(crate) cached_tokens: Counter,
    pub(crate) skew: Gauge<f64, AtomicU64>,
    pub(crate) in_flight: Gauge,
    pub(crate) version: Gauge,
}

impl Metrics {
    /// Creates all metrics. The counters of all reasons exist from the start.
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("sequoiaridge"),
            classes: Mutex::default(),
            refusals: Family::default(),
            retries: Family::default(),
            calls: Family::default(),
            control: Family::default(),
            rejected: Family::default(),
            claims: Family::default(),
            first_token: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            between_tokens: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            attempts: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            skew: Gauge::default(),
            in_flight: Gauge::default(),
            version: Gauge::default(),
        };
        metrics.register();
        for reason in RefusalReason::ALL {
            let _ = metrics.refusals.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        for reason in RetryReason::ALL {
            let _ = metrics.retries.get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            });
        }
        for kind in Traffic::ALL {
            metrics.sent(kind, 0);
            metrics.received(kind, 0);
        }
        metrics.set_claims(LedgerStats::default());
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Calls refused or ended without their whole answer, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Calls sent again, by reason",
            self.retries.clone(),
        );
        registry.register(
            "calls",
            "Calls ended, by class and verdict",
            self.calls.clone(),
        );
        registry.register(
            "attempts",
            "Requests sent to endpoints, including retries",
            self.attempts.clone(),
        );
        registry.register_with_unit(
            "control_traffic",
            "Control traffic by kind and direction",
            Unit::Bytes,
            self.control.clone(),
        );
        registry.register(
            "peer_messages_rejected",
            "Messages of peers that were dropped, by reason",
            self.rejected.clone(),
        );
        registry.register(
            "claims",
            "Counts of the claim ledger since the start of the router, by kind",
            self.claims.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token, by class",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between chunks of a streamed answer, by class",
            Unit::Seconds,
            self.between_tokens.clone(),
        );
        registry.register(
            "prompt_tokens",
            "Prompt tokens of finished chats",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "cached_tokens",
            "Prompt tokens that the engine had cached",
            self.cached_tokens.clone(),
        );
        registry.register(
            "load_skew",
            "Largest load of an engine over the mean, among the groups this router knows",
            self.skew.clone(),
        );
        registry.register(
            "calls_in_flight",
            "Calls of callers in flight",
            self.in_flight.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Counts a retry.
    pub(crate) fn retried(&self, reason: RetryReason) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Counts the end of a call.
    pub(crate) fn ended(&self, class: &str, verdict: Verdict) {
        let class = self.class_label(class);
        self.calls
            .get_or_create(&OutcomeLabel {
                class,
                verdict: verdict.as_str(),
            })
            .inc();
    }

    /// Counts control bytes sent.
    pub(crate) fn sent(&self, kind: Traffic, bytes: usize) {
        let label = TrafficLabel {
            kind: kind.as_str(),
            direction: "sent",
        };
        self.control.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Counts control bytes received.
    pub(crate) fn received(&self, kind: Traffic, bytes: usize) {
        let label = TrafficLabel {
            kind: kind.as_str(),
            direction: "received",
        };
        self.control.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Counts a rejected message of a peer.
    pub(crate) fn rejected(&self, reason: &'static str) {
        self.rejected.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Records the time to the first token.
    pub(crate) fn first_token(&self, class: &str, time: Duration) {
        let class = self.class_label(class);
        self.first_token
            .get_or_create(&ClassLabel { class })
            .observe(time.as_secs_f64());
    }

    /// Records the time between two chunks.
    pub(crate) fn between_tokens(&self, class: &str, time: Duration) {
        let class = self.class_label(class);
        self.between_tokens
            .get_or_create(&ClassLabel { class })
            .observe(time.as_secs_f64());
    }

    /// Returns the number of refusals so far for each reason.
    pub(crate) fn refusal_counts(&self) -> Vec<(RefusalReason, u64)> {
        let count = |reason: RefusalReason| {
            self.refusals
                .get_or_create(&ReasonLabel {
                    reason: reason.as_str(),
                })
                .get()
        };
        RefusalReason::ALL
            .iter()
            .map(|reason| (*reason, count(*reason)))
            .collect()
    }

    /// Returns the number of retries so far for each reason.
    pub(crate) fn retry_counts(&self) -> Vec<(RetryReason, u64)> {
        let count = |reason: RetryReason| {
            self.retries
                .get_or_create(&ReasonLabel {
                    reason: reason.as_str(),
                })
                .get()
        };
        RetryReason::ALL
            .iter()
            .map(|reason| (*reason, count(*reason)))
            .collect()
    }

    /// Sets the claim metrics from the counters of the claim ledger.
    pub(crate) fn set_claims(&self, stats: LedgerStats) {
        for (kind, count) in claim_counts(stats) {
            let gauge = self.claims.get_or_create(&KindLabel { kind });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Returns the number of calls of a class that ended so far, by verdict.
    pub(crate) fn calls_of(&self, class: &str) -> BTreeMap<&'static str, u64> {
        let verdicts = [Verdict::Done, Verdict::MayHaveRun, Verdict::NotRun];
        let count = |verdict: Verdict| {
            let verdict = verdict.as_str();
            let class = class.to_string();
            let counter = self.calls.get(&OutcomeLabel { class, verdict });
            (verdict, counter.map_or(0, |counter| counter.get()))
        };
        verdicts.into_iter().map(count).collect()
    }

    /// Returns, for each kind of control traffic, the bytes sent and received so far.
    pub(crate) fn control_bytes(&self) -> Vec<(&'static str, u64, u64)> {
        let count = |kind: &'static str, direction: &'static str| {
            let label = TrafficLabel { kind, direction };
            self.control.get_or_create(&label).get()
        };
        let kinds = Traffic::ALL.into_iter().map(Traffic::as_str);
        kinds
            .map(|kind| (kind, count(kind, "sent"), count(kind, "received")))
            .collect()
    }

    /// Returns the 95th percentiles of each class, in seconds: time to the first token and time
    /// between tokens.
    pub(crate) fn percentiles(&self) -> BTreeMap<String, summary::Percentiles> {
        summary::percentiles(&self.encode())
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }

    /// Returns the label value of a class. Classes beyond [`MAX_CLASSES`] share one.
    fn class_label(&self, class: &str) -> String {
        let mut known = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(class) || known.len() < MAX_CLASSES {
            known.insert(class.to_string());
            return class.to_string();
        }
        "other".to_string()
    }
}

/// Returns the counters of the claim ledger under the names that `status` and the metrics use.
pub(crate) fn claim_counts(stats: LedgerStats) -> [(&'static str, u64); 8] {
    [
        ("reads", stats.reads),
        ("writes", stats.writes),
        ("batches", stats.batches),
        ("batch-rows", stats.batch_rows),
        ("unknown", stats.unknown),
        ("unresolved", stats.unresolved),
        ("not-stored", stats.not_stored),
        ("pending", stats.pending),
    ]
}

/// Returns an example of every metric, type and label that `/metrics` can show, in the OpenMetrics
/// text format. docs/metrics.md is checked against it.
pub fn example_metrics() -> String {
    let metrics = Metrics::new();
    metrics.ended("class", Verdict::Done);
    metrics.rejected("reason");
    metrics.first_token("class", Duration::ZERO);
    metrics.between_tokens("class", Duration::ZERO);
    metrics.encode()
}

/// Creates a histogram with buckets from 1 ms to about 131 s, three per doubling. `status` compares
/// percentiles from the buckets with targets; with one bucket per doubling, 20 ms could not be
/// distinguished from a target of 30 ms.
fn latency_histogram() -> Histogram {
    const STEPS_PER_DOUBLING: u16 = 3;
    const DOUBLINGS: u16 = 17;
    let factor = f64::from(STEPS_PER_DOUBLING).recip().exp2();
    Histogram::new(exponential_buckets(
        0.001,
        factor,
        STEPS_PER_DOUBLING * DOUBLINGS + 1,
    ))
}
