//! Metrics of one router on the platform, described in docs/metrics.md.

use crate::admission::RoomFigures;
use crate::answer_end::AnswerEnd;
use crate::crashes::CrashSource;
use crate::registry::Table;
use crate::room_gate::RoomOutcome;
use crate::take_up::TakeUp;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sequoiaridge_core::{RefusalReason, RetryReason};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TableLabel {
    table: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct NewsLabel {
    table: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

/// Why an endpoint was excluded from the selection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// It said in an answer that it is leaving, but the registry does not list it so yet.
    Leaving,
    /// It asked this router for a rest.
    Rest,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its region is not a home of the request.
    Region,
    /// It is cold and this router has sent its share.
    Cold,
    /// It named a limit and this router has sent its share.
    Limit,
}

impl Exclusion {
    fn as_str(self) -> &'static str {
        match self {
            Exclusion::Leaving => "leaving",
            Exclusion::Rest => "rest",
            Exclusion::Evacuated => "evacuated",
            Exclusion::Region => "region",
            Exclusion::Cold => "cold",
            Exclusion::Limit => "limit",
        }
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KnownLabel {
    known: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VerdictLabel {
    verdict: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RoomLabel {
    rank: u8,
    outcome: &'static str,
}

/// A figure of each service that admission applies to.
type ServiceGauge = Family<ServiceLabel, Gauge<f64, AtomicU64>>;

/// Counters, gauges and histograms.
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    answers: Family<StatusLabel, Counter>,
    registry_calls: Family<TableLabel, Counter>,
    gaps: Family<NewsLabel, Counter>,
    strikes: Family<SourceLabel, Counter>,
    cleared: Family<SourceLabel, Counter>,
    pub(crate) quarantined: Gauge,
    spared: Family<CauseLabel, Counter>,
    answer_ends: Family<VerdictLabel, Counter>,
    take_ups: Family<KnownLabel, Counter>,
    room: ServiceGauge,
    demand: ServiceGauge,
    room_correction: ServiceGauge,
    room_requests: Family<RoomLabel, Counter>,
    /// Messages with demand that were sent to other routers.
    pub(crate) demand_messages: Counter,
    pub(crate) resting: Gauge,
    /// 1 while the links to the endpoints are lost.
    pub(crate) links_lost: Gauge,
    /// Connections to endpoints that are open for other routers.
    pub(crate) tunnels: Gauge,
    /// Endpoints whose limit on requests is in force.
    pub(crate) limited: Gauge,
    /// Limits that cannot be parsed.
    pub(crate) limits_ignored: Counter,
    /// Failure domains that operators evacuate.
    pub(crate) evacuated: Gauge,
    /// Rows of operators that cannot be read or applied.
    pub(crate) operator_rows_rejected: Counter,
    /// Rows of endpoints that cannot be read.
    pub(crate) endpoint_rows_rejected: Counter,
    /// Endpoints whose pace takes effect.
    pub(crate) slow_endpoints: Gauge,
    /// Streams in the row that this router saved last.
    pub(crate) saved_streams: Gauge,
    pub(crate) rests_ignored: Counter,
    pub(crate) repairs: Counter,
    pub(crate) news_age: Histogram,
    answer_time: Histogram,
    pub(crate) cold_holds: Counter,
    pub(crate) connections: Counter,
    pub(crate) requests: Counter,
    pub(crate) prompt_tokens: Counter,
    pub(crate) cached_tokens: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) version: Gauge,
    pub(crate) era: Gauge,
    pub(crate) routers: Gauge,
    pub(crate) known_routers: Gauge,
    pub(crate) lines_lost: Gauge,
}

impl Metrics {
    /// Creates all metrics. The counters of all reasons exist from the start.
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("sequoiaridge_edge"),
            refusals: Family::default(),
            retries: Family::default(),
            answers: Family::default(),
            registry_calls: Family::default(),
            gaps: Family::default(),
            strikes: Family::default(),
            cleared: Family::default(),
            quarantined: Gauge::default(),
            spared: Family::default(),
            answer_ends: Family::default(),
            take_ups: Family::default(),
            room: Family::default(),
            demand: Family::default(),
            room_correction: Family::default(),
            room_requests: Family::default(),
            demand_messages: Counter::default(),
            resting: Gauge::default(),
            links_lost: Gauge::default(),
            tunnels: Gauge::default(),
            limited: Gauge::default(),
            limits_ignored: Counter::default(),
            evacuated: Gauge::default(),
            operator_rows_rejected: Counter::default(),
            endpoint_rows_rejected: Counter::default(),
            slow_endpoints: Gauge::default(),
            saved_streams: Gauge::default(),
            rests_ignored: Counter::default(),
            repairs: Counter::default(),
            news_age: Histogram::new(exponential_buckets(0.05, 2.0, 9)),
            answer_time: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            cold_holds: Counter::default(),
            connections: Counter::default(),
            requests: Counter::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            in_flight: Gauge::default(),
            version: Gauge::default(),
            era: Gauge::default(),
            routers: Gauge::default(),
            known_routers: Gauge::default(),
            lines_lost: Gauge::default(),
        };
        metrics.register();
        for reason in RefusalReason::ALL {
            let _ = metrics.refusals.get_or_create(&label(reason.as_str()));
        }
        for reason in RetryReason::ALL {
            let _ = metrics.retries.get_or_create(&label(reason.as_str()));
        }
        for end in AnswerEnd::ALL {
            let verdict = end.as_str();
            let _ = metrics.answer_ends.get_or_create(&VerdictLabel { verdict });
        }
        for take_up in TakeUp::ALL {
            let known = take_up.as_str();
            let _ = metrics.take_ups.get_or_create(&KnownLabel { known });
        }
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Requests sent again, by reason",
            self.retries.clone(),
        );
        registry.register(
            "answers",
            "Answers to callers, by status",
            self.answers.clone(),
        );
        registry.register(
            "registry_calls",
            "Calls to the registry, by table and outcome",
            self.registry_calls.clone(),
        );
        registry.register(
            "gaps",
            "Changes that another router knew and this one lacked, by table",
            self.gaps.clone(),
        );
        registry.register(
            "crash_strikes",
            "Crashes recorded for a request or a part, by who saw them",
            self.strikes.clone(),
        );
        registry.register(
            "crash_cleared",
            "Requests and parts with crashes that succeeded, by who saw that",
            self.cleared.clone(),
        );
        registry.register(
            "quarantined",
            "Requests and parts that are held because they crashed several endpoints",
            self.quarantined.clone(),
        );
        registry.register(
            "spared",
            "Requests for which an endpoint was left out, by cause",
            self.spared.clone(),
        );
        registry.register(
            "answer_ends",
            "Answers that ended with their connection, by what their endpoints showed then",
            self.answer_ends.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that were to go on, by how the version that began them was known",
            self.take_ups.clone(),
        );
        registry.register(
            "room",
            "Requests that a service can run at the same time, by service",
            self.room.clone(),
        );
        registry.register(
            "demand",
            "Demand of all routers on a service, in requests at the same time, by service",
            self.demand.clone(),
        );
        registry.register(
            "room_correction",
            "Factor by which the reports of endpoints correct the room, by service",
            self.room_correction.clone(),
        );
        registry.register(
            "room_requests",
            "Requests that asked for room, by rank and outcome",
            self.room_requests.clone(),
        );
        registry.register(
            "demand_messages",
            "Messages with demand sent to other routers",
            self.demand_messages.clone(),
        );
        registry.register(
            "saved_streams",
            "Streams in the row that this router saved last",
            self.saved_streams.clone(),
        );
        registry.register(
            "resting",
            "Endpoints that asked this router for a rest that has not ended",
            self.resting.clone(),
        );
        registry.register(
            "links_lost",
            "1 while this router reaches endpoints only through other routers",
            self.links_lost.clone(),
        );
        registry.register(
            "tunnels",
            "Connections to endpoints that are open for other routers",
            self.tunnels.clone(),
        );
        registry.register(
            "limited",
            "Endpoints that named a limit on the requests from all routers",
            self.limited.clone(),
        );
        registry.register(
            "limits_ignored",
            "Answers whose limit on requests cannot be parsed",
            self.limits_ignored.clone(),
        );
        registry.register(
            "evacuated",
            "Failure domains that operators evacuate",
            self.evacuated.clone(),
        );
        registry.register(
            "operator_rows_rejected",
            "Rows of operators that cannot be read or applied",
            self.operator_rows_rejected.clone(),
        );
        registry.register(
            "endpoint_rows_rejected",
            "Rows of endpoints that cannot be read and name none",
            self.endpoint_rows_rejected.clone(),
        );
        registry.register(
            "slow_endpoints",
            "Endpoints that this router treats as slow: their pace is 1.5 or more",
            self.slow_endpoints.clone(),
        );
        registry.register(
            "rests_ignored",
            "Rests that endpoints asked for in vain: unreadable, or longer than the bound",
            self.rests_ignored.clone(),
        );
        registry.register(
            "repairs",
            "Gaps of other routers that this one filled",
            self.repairs.clone(),
        );
        registry.register(
            "news_age_seconds",
            "Age of the news about endpoints, once a second",
            self.news_age.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a request to the head of its answer",
            self.answer_time.clone(),
        );
        registry.register(
            "cold_holds",
            "Requests held until this router's share of a cold endpoint returned",
            self.cold_holds.clone(),
        );
        registry.register(
            "connections",
            "Connections to endpoints",
            self.connections.clone(),
        );
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register(
            "prompt_tokens",
            "Tokens of prompts sent",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "cached_tokens",
            "Tokens of prompts that the endpoint was expected to have cached",
            self.cached_tokens.clone(),
        );
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("version", "Configuration in force", self.version.clone());
        registry.register("era", "Era of the platform", self.era.clone());
        registry.register(
            "routers",
            "Routers heard, with this one",
            self.routers.clone(),
        );
        registry.register(
            "known_routers",
            "Routers known, heard or not, with this one",
            self.known_routers.clone(),
        );
        registry.register("lines_lost", "Log lines dropped", self.lines_lost.clone());
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&label(reason.as_str())).inc();
    }

    /// Counts a retry.
    pub(crate) fn retried(&self, reason: RetryReason) {
        self.retries.get_or_create(&label(reason.as_str())).inc();
    }

    /// Counts the head of an answer to a caller.
    pub(crate) fn answered(&self, status: u16, time: Duration) {
        self.answers.get_or_create(&StatusLabel { status }).inc();
        self.answer_time.observe(time.as_secs_f64());
    }

    /// Counts a call to the registry.
    pub(crate) fn registry_call(&self, table: Table, answered: bool) {
        let label = TableLabel {
            table: table.as_str(),
            outcome: if answered { "answered" } else { "failed" },
        };
        self.registry_calls.get_or_create(&label).inc();
    }

    /// Counts a change that this router lacks.
    pub(crate) fn gaps(&self, table: Table) {
        let label = NewsLabel {
            table: table.as_str(),
        };
        self.gaps.get_or_create(&label).inc();
    }

    /// Counts a crash that is attributed to a request.
    pub(crate) fn crash_recorded(&self, source: CrashSource) {
        let source = source.as_str();
        self.strikes.get_or_create(&SourceLabel { source }).inc();
    }

    /// Counts that an endpoint was excluded from the selection for a request.
    pub(crate) fn excluded(&self, cause: Exclusion) {
        let cause = cause.as_str();
        self.spared.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts an answer that ended with its connection.
    pub(crate) fn answer_ended(&self, end: AnswerEnd) {
        let verdict = end.as_str();
        let label = VerdictLabel { verdict };
        self.answer_ends.get_or_create(&label).inc();
    }

    /// Counts a stream that is to go on.
    pub(crate) fn taken_up(&self, take_up: TakeUp) {
        let known = take_up.as_str();
        self.take_ups.get_or_create(&KnownLabel { known }).inc();
    }

    /// Counts a request that asked for room.
    pub(crate) fn room_asked(&self, rank: u8, outcome: RoomOutcome) {
        let outcome = outcome.as_str();
        let label = RoomLabel { rank, outcome };
        self.room_requests.get_or_create(&label).inc();
    }

    /// Sets the figures of a service.
    pub(crate) fn set_room(&self, service: &str, figures: &RoomFigures) {
        let label = service_label(service);
        self.room.get_or_create(&label).set(figures.room);
        self.demand.get_or_create(&label).set(figures.demand);
        let correction = self.room_correction.get_or_create(&label);
        correction.set(figures.correction);
    }

    /// Removes the figures of a service that admission no longer applies to.
    pub(crate) fn forget_room(&self, service: &str) {
        let label = service_label(service);
        for family in [&self.room, &self.demand, &self.room_correction] {
            family.remove(&label);
        }
    }

    /// Counts a request whose crashes were cleared because it succeeded.
    pub(crate) fn crashes_cleared(&self, source: CrashSource) {
        let source = source.as_str();
        self.cleared.get_or_create(&SourceLabel { source }).inc();
    }

    /// All metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let lost = sequoiaridge_log::lines_lost();
        self.lines_lost.set(i64::try_from(lost).unwrap_or(i64::MAX));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

/// An example of every metric in the OpenMetrics text format, against which docs/metrics.md is checked.
pub fn example_metrics() -> String {
    let metrics = Metrics::new();
    metrics.answered(200, Duration::ZERO);
    metrics.registry_call(Table::Configuration, true);
    metrics.gaps(Table::Endpoints);
    metrics.crash_recorded(CrashSource::Own);
    metrics.crashes_cleared(CrashSource::Own);
    metrics.excluded(Exclusion::Rest);
    metrics.room_asked(0, RoomOutcome::Admitted);
    metrics.set_room("orders", &RoomFigures::default());
    metrics.encode()
}

fn service_label(service: &str) -> ServiceLabel {
    ServiceLabel {
        service: service.to_string(),
    }
}

fn label(reason: &'static str) -> ReasonLabel {
    ReasonLabel { reason }
}
