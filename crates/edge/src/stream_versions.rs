//! Software versions of the endpoints that began streams.
//!
//! A stream may only go on at an endpoint with the version that began it, since the events of two
//! versions do not fit together. Callers that take a stream up name the attempt that brought its
//! first event. See "Versions of endpoints' software" in docs/platform.md.

use crate::manifest::{MAX_VERSION_BYTES, SoftwareVersion};
use sequoiaridge_core::hash_parts;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifies a stream: a hash of the attempt that brought its first event.
pub type StreamId = u64;

/// Window where no route sets one.
const DEFAULT_WINDOW: Duration = Duration::from_secs(60);
/// Longest window, whatever the timeouts of the routes.
pub const MAX_VERSION_WINDOW: Duration = Duration::from_secs(600);
/// Largest number of streams. At 370 routers with 25 resumable streams a second each, a router that
/// holds its share of two copies of all streams records 75 streams a second.
const MAX_STREAMS: usize = 32_768;

/// Routers of each failure domain that save the streams of all. With the few of them, all saves of the
/// fleet are fewer and newer than if each router saved its own.
const KEEPERS_PER_DOMAIN: usize = 4;
/// Time in which the end of a stream that was passed on reaches its caller.
const ARRIVAL_TIME: Duration = Duration::from_secs(5);

/// The stream that an attempt begins.
pub fn stream_id(attempt: &str) -> StreamId {
    hash_parts(&[b"stream", attempt.as_bytes()])
}

/// The routers that save streams of all routers in a large fleet: the first of each
/// failure domain by name. `members` are routers with their failure domains, ordered by name.
pub fn stream_keepers<'a>(
    members: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<(&'a str, &'a str)> {
    let mut found: BTreeMap<&str, usize> = BTreeMap::new();
    let first = members.filter(|(_, domain)| {
        let count = found.entry(domain).or_default();
        *count += 1;
        *count <= KEEPERS_PER_DOMAIN
    });
    first.collect()
}

/// Rank of a router among those that may hold a stream, by rendezvous hash.
fn rank(stream: StreamId, id: &str) -> u64 {
    hash_parts(&[&stream.to_le_bytes(), id.as_bytes()])
}

/// The routers that hold and save a stream for others in a large fleet: the first two by rendezvous hash that
/// are in different failure domains, or the first two if there is one domain. `members` are routers
/// with their failure domains. Routers agree on the owners as far as they know the same members.
pub fn stream_owners<'a>(
    stream: StreamId,
    members: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str, &str)> = members
        .map(|(id, domain)| (rank(stream, id), id, domain))
        .collect();
    ranked.sort_by_key(|(rank, _, _)| Reverse(*rank));
    let Some(&(_, first, own)) = ranked.first() else {
        return Vec::new();
    };
    let elsewhere = ranked.iter().find(|(_, _, domain)| *domain != own);
    let second = elsewhere.or(ranked.get(1)).map(|(_, id, _)| *id);
    std::iter::once(first).chain(second).collect()
}

/// The routers that hold a stream for others in a large fleet: its two owners among those that save
/// streams, and a third one drawn from all others, in a third failure domain if there is one. A loss of
/// many routers may reach nearly all of the few that save streams. `members` are routers with their
/// failure domains, ordered by name. Routers agree on the holders as far as they know the same members.
pub fn stream_holders<'a>(
    stream: StreamId,
    members: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<&'a str> {
    let members: Vec<(&str, &str)> = members.collect();
    let keepers = stream_keepers(members.iter().copied());
    let mut holders = stream_owners(stream, keepers.iter().copied());
    let keepers: BTreeMap<&str, &str> = keepers.into_iter().collect();
    let domains: Vec<&str> = holders.iter().map(|id| keepers[id]).collect();
    let others = members.iter().filter(|(id, _)| !holders.contains(id));
    let third = others.max_by_key(|(id, domain)| {
        let saves = keepers.contains_key(id);
        (!saves, !domains.contains(domain), rank(stream, id))
    });
    holders.extend(third.map(|(id, _)| *id));
    holders
}

/// The version that began a stream, as routers tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// Version of the endpoint that sent its first event.
    pub version: SoftwareVersion,
    /// Time since the stream was last known to go on, in ms.
    pub age_ms: u32,
}

/// From where a router knows the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// It passed on the first event itself.
    Own,
    /// Another router told it.
    Told,
    /// The fleet saved it in the registry.
    Saved,
}

#[derive(Clone, Debug)]
struct Recorded {
    version: SoftwareVersion,
    at: Duration,
    source: OriginSource,
    /// Whether routers recorded different versions, as when two copies of one attempt ran. Nothing
    /// tells which of them its caller has.
    disputed: bool,
    /// When the whole stream had been passed on.
    ended_at: Option<Duration>,
}

impl Recorded {
    /// Whether the caller may lack the end of the stream. One that was passed on may not have arrived yet.
    fn is_open(&self, now: Duration) -> bool {
        self.ended_at.is_none_or(|ended| now < ended + ARRIVAL_TIME)
    }
}

/// The versions that began the streams of the last time window.
#[derive(Clone, Debug)]
pub struct StreamVersions {
    window: Duration,
    streams: BTreeMap<StreamId, Recorded>,
    /// The streams in the order of their times, the oldest first.
    order: BTreeSet<(Duration, StreamId)>,
}

impl Default for StreamVersions {
    fn default() -> StreamVersions {
        StreamVersions::with_window(DEFAULT_WINDOW)
    }
}

impl StreamVersions {
    /// Creates an empty table that keeps streams for `window`.
    pub fn with_window(window: Duration) -> StreamVersions {
        StreamVersions {
            window: window.min(MAX_VERSION_WINDOW),
            streams: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Sets the window, which depends on the routes in force.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window.min(MAX_VERSION_WINDOW);
    }

    /// Time for which streams are kept.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Records that an endpoint of a version began a stream, or that the stream goes on. The version
    /// of a known stream does not change.
    pub fn record(&mut self, stream: StreamId, version: &str, now: Duration) {
        self.record_at(stream, version, now, OriginSource::Own);
        if let Some(recorded) = self.streams.get_mut(&stream) {
            // The router that began the stream may be gone, so this one saves it from now on.
            recorded.source = OriginSource::Own;
            recorded.ended_at = None;
        }
        self.trim();
    }

    /// The version that began a stream, and the time since it was last known to go on.
    pub fn version(&self, stream: StreamId, now: Duration) -> Option<(&SoftwareVersion, Duration)> {
        let recorded = self.streams.get(&stream)?;
        let age = now.saturating_sub(recorded.at);
        let is_known = age < self.window && !recorded.disputed;
        is_known.then_some((&recorded.version, age))
    }

    /// The streams recorded since `at`, the newest first.
    pub fn recorded_since(&self, at: Duration, now: Duration) -> Vec<StreamOrigin> {
        let recent = self.order.range((at, 0)..).rev();
        let origins = recent.filter_map(|(_, stream)| self.origin(*stream, now));
        origins.collect()
    }

    /// Records that a whole stream was passed on. Its caller hardly takes it up then.
    pub fn end(&mut self, stream: StreamId, now: Duration) {
        if let Some(recorded) = self.streams.get_mut(&stream) {
            recorded.ended_at = Some(now);
        }
    }

    /// The streams that this router saves, the newest first: those that it began and that may be taken
    /// up, and with `told` also those of other routers that may still run, whose end it does not learn.
    pub fn to_save(&self, told: bool, now: Duration) -> Vec<StreamOrigin> {
        let may_go_on = |stream: &StreamId| {
            self.streams
                .get(stream)
                .is_some_and(|recorded| match recorded.source {
                    OriginSource::Own => recorded.is_open(now),
                    OriginSource::Told => told && now < recorded.at + self.window / 2,
                    OriginSource::Saved => false,
                })
        };
        let newest = self.order.iter().rev();
        let saved = newest.filter(|(_, stream)| may_go_on(stream));
        saved
            .filter_map(|(_, stream)| self.origin(*stream, now))
            .collect()
    }

    /// A stream as it is told to other routers; `None` if it is not known.
    pub fn origin(&self, stream: StreamId, now: Duration) -> Option<StreamOrigin> {
        let (version, age) = self.version(stream, now)?;
        Some(StreamOrigin {
            stream,
            version: version.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// A stream as it is told to other routers; `None` if it is not known or its caller has all of it.
    pub fn open_origin(&self, stream: StreamId, now: Duration) -> Option<StreamOrigin> {
        let recorded = self.streams.get(&stream)?;
        recorded.is_open(now).then(|| self.origin(stream, now))?
    }

    /// From where a stream is known.
    pub fn source(&self, stream: StreamId) -> Option<OriginSource> {
        self.streams.get(&stream).map(|recorded| recorded.source)
    }

    /// Merges what another router knows.
    pub fn merge(&mut self, origins: &[StreamOrigin], now: Duration) {
        self.merge_from(origins, OriginSource::Told, now);
    }

    /// Merges what is known from `source`.
    pub fn merge_from(&mut self, origins: &[StreamOrigin], source: OriginSource, now: Duration) {
        for origin in origins {
            let age = Duration::from_millis(origin.age_ms.into());
            if age < self.window && origin.version.len() <= MAX_VERSION_BYTES {
                let at = now.saturating_sub(age);
                self.record_at(origin.stream, &origin.version, at, source);
                if let Some(recorded) = self.streams.get_mut(&origin.stream) {
                    recorded.disputed |= recorded.version != origin.version;
                }
            }
        }
        self.trim();
    }

    /// Removes the streams that are older than the window.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, stream)) = self.order.first()
            && now >= at + self.window
        {
            self.order.remove(&(at, stream));
            self.streams.remove(&stream);
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn record_at(&mut self, stream: StreamId, version: &str, at: Duration, source: OriginSource) {
        match self.streams.get_mut(&stream) {
            Some(recorded) if at > recorded.at => {
                self.order.remove(&(recorded.at, stream));
                recorded.at = at;
                self.order.insert((at, stream));
            }
            Some(_) => {}
            None => {
                let version = version.to_string();
                let recorded = Recorded {
                    version,
                    at,
                    source,
                    disputed: false,
                    ended_at: None,
                };
                self.streams.insert(stream, recorded);
                self.order.insert((at, stream));
            }
        }
    }

    /// Removes the oldest streams beyond the largest number.
    fn trim(&mut self) {
        while self.streams.len() > MAX_STREAMS {
            let Some((_, stream)) = self.order.pop_first() else {
                return;
            };
            self.streams.remove(&stream);
        }
    }
}
