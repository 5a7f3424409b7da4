//! The version at which a stream goes on that was begun before.
//!
//! See "Versions of endpoints' software" in docs/platform.md.

use crate::exchange::Exchange;
use crate::manifest::SoftwareVersion;
use crate::registry::Table;
use crate::shared::RoutingState;
use crate::stream_versions::{OriginSource, StreamId, stream_id};
use sequoiaridge_core::{Event, RefusalReason};
use sequoiaridge_log::log_request;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time for which a router waits for others to say which version began a stream: several round trips
/// between failure domains.
const ASK_TIME: Duration = Duration::from_millis(150);

/// Time for which a take-up waits until the list of endpoints is known as of its arrival: several reads of
/// the registry. A router that is cut off from the registry sends the caller to another one then.
const LIST_TIME: Duration = Duration::from_millis(500);
/// Interval between looks at the list meanwhile.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a router that starts waits for what the fleet saved.
const START_TIME: Duration = Duration::from_millis(250);

/// How a router decided at which version a stream goes on, or why it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakeUp {
    /// This router passed on the first event.
    Own,
    /// Another router told which version began it.
    Told,
    /// Another router told when it was asked.
    Asked,
    /// The service had a single version for as long as the stream can have run.
    Sole,
    /// The fleet saved it in the registry.
    Saved,
    /// The version is not known.
    Unknown,
    /// No endpoint with the version takes requests.
    Gone,
}

impl TakeUp {
    pub(crate) const ALL: [TakeUp; 7] = [
        TakeUp::Own,
        TakeUp::Told,
        TakeUp::Asked,
        TakeUp::Sole,
        TakeUp::Saved,
        TakeUp::Unknown,
        TakeUp::Gone,
    ];

    /// Label in metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            TakeUp::Own => "own",
            TakeUp::Told => "told",
            TakeUp::Asked => "asked",
            TakeUp::Sole => "sole",
            TakeUp::Saved => "saved",
            TakeUp::Unknown => "unknown",
            TakeUp::Gone => "gone",
        }
    }
}

impl From<OriginSource> for TakeUp {
    fn from(source: OriginSource) -> TakeUp {
        match source {
            OriginSource::Own => TakeUp::Own,
            OriginSource::Told => TakeUp::Told,
            OriginSource::Saved => TakeUp::Saved,
        }
    }
}

/// What is known of a stream that goes on.
struct Found {
    version: SoftwareVersion,
    known: TakeUp,
    /// Time since the stream was last known to go on; `None` if only its service is known.
    age: Option<Duration>,
}

impl Exchange {
    /// Finds the version at which the stream must go on that the caller takes up. Requests that
    /// begin a stream, or have no event of it yet, may run at any version.
    ///
    /// # Errors
    ///
    /// The version is not known, or no endpoint with it takes requests.
    pub(crate) async fn find_version(&mut self) -> Result<(), RefusalReason> {
        if self.call.resume.is_none() || !self.route.kind.streams() {
            return Ok(());
        }
        let mut found = self.known_version();
        if found.is_none() {
            // A router that starts does not know yet what the fleet saved, nor whom to ask.
            self.shared.wait_joined(START_TIME).await;
            found = self.known_version();
        }
        if found.is_none() {
            found = self.learn_version().await;
        }
        let Some(found) = found else {
            self.log_take_up(TakeUp::Unknown, "", None);
            return Err(RefusalReason::VersionUnknown);
        };
        if !self.is_served(&found.version) {
            self.log_take_up(TakeUp::Gone, &found.version, found.age);
            return Err(RefusalReason::VersionGone);
        }
        self.log_take_up(found.known, &found.version, found.age);
        self.version = Some(found.version);
        Ok(())
    }

    /// Records that a whole event of the stream is passed on. From then on it may go on only at the
    /// version of the endpoint that sent the first one.
    pub(crate) fn record_event(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        let tried_version = &self.tried_version;
        let version = self.version.get_or_insert_with(|| tried_version.clone());
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        state.streams.record(self.stream, version, now);
        state.stream_news.add(&self.service, self.stream);
        let is_told_now = state.is_large() && state.versions.is_mixed(&self.service, now);
        drop(state);
        if is_told_now {
            self.shared.note_stream_begun();
        }
    }

    /// Records that the whole stream was passed on.
    pub(crate) fn record_end(&self) {
        if self.begun {
            let now = self.shared.now();
            self.shared.lock_state().streams.end(self.stream, now);
        }
    }

    /// Logs that this router itself resumes the stream.
    pub(crate) fn log_own_resume(&self) {
        if let Some(version) = &self.version {
            let now = self.shared.now();
            let state = self.shared.lock_state();
            let age = state.streams.version(self.stream, now).map(|(_, age)| age);
            drop(state);
            self.log_take_up(TakeUp::Own, version, age);
        }
    }

    /// The version that began the stream, if this router knows it.
    fn known_version(&self) -> Option<Found> {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let recorded = recorded(&state, self.stream, now);
        recorded.or_else(|| {
            // The caller has an event, so the stream began before the request arrived.
            let version = state.sole_version(&self.service, self.started, now)?;
            Some(Found {
                version,
                known: TakeUp::Sole,
                age: None,
            })
        })
    }

    /// Asks other routers which version began the stream and, if the service seems to have a single one,
    /// reads the list of endpoints to be sure of it.
    async fn learn_version(&self) -> Option<Found> {
        let asks = self.call.origin.is_some() && !self.shared.lock_state().contacts.is_empty();
        if asks {
            self.shared.ask_origin(self.stream);
        }
        let reads = self.want_list();
        let time = match (asks, reads) {
            (_, true) => LIST_TIME,
            (true, false) => ASK_TIME,
            (false, false) => return None,
        };
        let end = Instant::now() + time;
        loop {
            let mut told = pin!(self.shared.origins_told());
            told.as_mut().enable();
            if let Some(found) = self.known_version() {
                let known = match found.known {
                    TakeUp::Sole => TakeUp::Sole,
                    _ => TakeUp::Asked,
                };
                return Some(Found { known, ..found });
            }
            if Instant::now() >= end {
                return None;
            }
            // What ends the wait is looked at afterwards.
            let _ = timeout_at(end.min(Instant::now() + LIST_CHECK_INTERVAL), told).await;
        }
    }

    /// Makes this router read the list of endpoints if that may show that the service has a single
    /// version. Returns whether it may.
    fn want_list(&self) -> bool {
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let may_be_sole = state.versions.sole(&self.service, now).is_some();
        if may_be_sole {
            state.endpoints.want(self.started);
        }
        drop(state);
        if may_be_sole {
            self.shared.hints(Table::Endpoints).notify_one();
        }
        may_be_sole
    }

    /// Whether an endpoint with the version takes requests.
    fn is_served(&self, version: &str) -> bool {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let mut accepting = state.roster.accepting(&self.service, now);
        accepting.any(|entry| entry.version == version)
    }

    fn log_take_up(&self, take_up: TakeUp, version: &str, age: Option<Duration>) {
        self.shared.metrics.taken_up(take_up);
        log_request(
            Event::StreamTakenUp,
            &self.call.attempt,
            format_args!(
                "stream={:016x} origin={} version={version:?} known={} age_ms={:?} after_event={:?}",
                self.stream,
                self.call.origin.as_deref().unwrap_or("-"),
                take_up.as_str(),
                age.map(|age| age.as_millis()),
                self.call.resume
            ),
        );
    }
}

fn recorded(state: &RoutingState, stream: StreamId, now: Duration) -> Option<Found> {
    let (version, age) = state.streams.version(stream, now)?;
    Some(Found {
        version: version.clone(),
        known: state.streams.source(stream)?.into(),
        age: Some(age),
    })
}

/// The attempt that began the stream of a request: its own, unless it takes a stream up.
pub(crate) fn beginning(attempt: &str, resume: Option<u64>, origin: Option<&str>) -> StreamId {
    let origin = origin.filter(|_| resume.is_some());
    stream_id(origin.unwrap_or(attempt))
}
