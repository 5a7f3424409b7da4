//! Router for a platform that keeps the configuration and the list of endpoints in its own store.
//!
//! A router takes a request from a caller, selects an endpoint and sends the request to it directly. It has
//! no durable state: configuration and endpoints are read from a [`Registry`], and routers exchange by
//! gossip their load, what endpoints have cached and which requests crash endpoints. Names and formats of
//! the platform are hidden behind [`Registry`] and [`Dialect`]. See docs/platform.md.
//!
//! Decisions are free of I/O: [`RouteTable`], [`Roster`], [`Loads`], [`Placement`] and [`RetryWindow`] take
//! the time and typed input and return typed decisions.
//!
//! ```
//! use sequoiaridge_edge::RetryWindow;
//! use std::time::Duration;
//!
//! let mut retries = RetryWindow::new(0.2, Duration::from_secs(10), 8.0);
//! let now = Duration::from_secs(1);
//! retries.record_request("orders", now);
//! assert!(retries.try_take("orders", 4, now));
//! ```

mod admission;
mod answer_deadline;
mod answer_end;
mod bounded_io;
mod brittle_services;
mod buffered_answer;
mod byte_budget;
mod cache_map;
mod call;
mod cold_refusals;
mod constraints;
mod crash_sync;
mod crashes;
mod demand_budget;
mod departures;
mod drain;
mod endpoint_limits;
mod endpoint_notices;
mod endpoint_scan;
mod entry_bounds;
mod event_scan;
mod exchange;
mod exchange_reports;
mod feed;
mod follower;
mod health;
mod hold_time;
mod hot_subjects;
mod idle_timer;
mod ingress;
mod join;
mod leaving_starts;
mod load;
mod load_reports;
mod manifest;
mod manifest_check;
mod metrics;
mod network;
mod open_runs;
mod own_rows;
mod pace;
mod peer_message;
mod peers;
mod placement;
mod quarantine_page;
mod quarantine_probe;
mod reader;
mod registry;
mod relays;
mod rest;
mod retry_after;
mod retry_window;
mod room_gate;
mod room_watch;
mod roster;
mod router;
mod routes;
mod run_times;
mod saved_streams;
mod saved_versions;
pub mod schedule;
mod selection;
mod settings;
mod shared;
mod silence_watch;
mod snapshot;
mod sorted_walk;
mod started_answer;
mod stream_body;
mod stream_news;
mod stream_saves;
mod stream_versions;
mod sync;
mod take_up;
mod terminations;
mod upstream;
mod version_history;
mod wall_time;
mod whole_body;

pub use admission::{
    Admission, Admitted, Arrival, CustomerDemand, CustomerKey, DemandReport, EndpointQueue,
    EndpointRoom, Level, RankShares, RoomChange, RoomFigures, RoomRefusal, ServiceKey, ServiceRoom,
    WaitLimit, split_room,
};
pub use answer_end::{AnswerEnd, EndEvidence};
pub use brittle_services::BrittleServices;
pub use byte_budget::{ByteBudget, Reservation};
pub use cache_map::{CacheMap, Prefix, PrefixKey, prefixes};
pub use call::{AnswerHead, Attempt, AttemptId, Call, EndpointLoad, Part, PartId, Prompt};
pub use constraints::{
    ColdBooking, ColdEndpoint, ColdShare, ColdStarts, DomainKey, EvacuatedDomains, EvacuationRow,
    EvacuationUpdate, Evacuations, Homes, KnownRouters, MAX_EVACUATED, domain_key,
};
pub use crash_sync::CrashSync;
pub use demand_budget::{MAX_DEMAND_BYTES, demand_bytes, fit_demand};
pub use departures::{Departures, start_of_run};
pub use drain::{Drain, DrainRequest};
pub use endpoint_limits::{
    LimitChange, LimitNotice, LimitReport, LimitRoom, LimitSenders, LimitShare, LimitedEndpoint,
    NamedLimit, NamedLimits,
};
pub use endpoint_scan::{EndpointTables, ScannedEndpoint};
pub use feed::{ChangedRow, Feed, MAX_FEED_CHANGES, RowChange};
pub use follower::{Follower, Revision, TableDigest};
pub use health::{EndpointHealth, Health};
pub use hot_subjects::{HotSubject, HotSubjects};
pub use load::{Loads, PeerRouter, Work};
pub use load_reports::{LoadReports, ReportEntry, ReportKey, ReportedLoad};
pub use manifest::{
    CallerLimits, ColdStart, Customer, EndpointEntry, Engine, Kind, Manifest, Route, RouterEntry,
    Service, ServiceName, SoftwareVersion, software_version,
};
pub use manifest_check::{
    Field, FieldPath, Finding, Section, Severity, check_manifest, manifest_differences,
};
pub use metrics::example_metrics;
pub use network::{Dialer, Dialing, Isolation, SystemDialer};
pub use open_runs::{OpenRuns, RunProgress};
pub use pace::{EFFECTIVE_PACE, PaceChange, PaceEntry, Paces, Stall, StreamSampler};
pub use peer_message::{Outbox, PeerMessage};
pub use placement::{Candidate, Choice, Placement, Subject};
pub use quarantine_probe::{QuarantineProbes, is_designated};
pub use registry::{
    CallError, Dialect, Entry, Era, PeerKey, Position, Registry, RegistryError, RegistryFuture,
    Row, Rows, Saved, Table,
};
pub use relays::{pick_relay, pick_relays, scaled_period};
pub use rest::{RestOutcome, RestRequest, Rests};
pub use retry_window::RetryWindow;
pub use roster::{Roster, RosterChange};
pub use router::EdgeRouter;
pub use routes::RouteTable;
pub use run_times::RunTimes;
pub use settings::{ColdLimit, EdgeSettings};
pub use stream_news::{StreamNews, TellPace};
pub use stream_saves::{StreamSaves, decode_streams, encode_streams};
pub use stream_versions::{
    MAX_VERSION_WINDOW, OriginSource, StreamId, StreamOrigin, StreamVersions, stream_holders,
    stream_id, stream_keepers, stream_owners,
};
pub use terminations::{Loss, LossOutcome, Run, Terminations};
pub use version_history::{ServiceVersions, VersionHistory};
