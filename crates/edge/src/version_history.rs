//! Which software versions the endpoints of each service had of late.
//!
//! A stream may go on only at the version that began it. Where the origin of a stream is not known,
//! it is still certain if its service had a single version for as long as the stream can have run; see
//! "Versions of endpoints' software" in docs/platform.md.

use crate::manifest::{ServiceName, SoftwareVersion};
use crate::registry::Era;
use crate::stream_versions::MAX_VERSION_WINDOW;
use crate::wall_time::{CLOCK_TOLERANCE, epoch_ms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// The versions of each service.
pub type ServiceVersions = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

/// Window where no route sets one.
const DEFAULT_WINDOW: Duration = Duration::from_secs(60);
/// Versions of a service that are remembered: with any two of them, it is mixed.
const MAX_VERSIONS: usize = 16;
/// Largest saved history in bytes, below the size of a row.
const MAX_SAVED_BYTES: usize = 48 * 1024;

/// A version in a saved history.
#[derive(Serialize, Deserialize)]
struct SavedVersion {
    version: SoftwareVersion,
    /// Time since it was last listed, in ms; `None` if it was listed when the history was saved.
    age_ms: Option<u32>,
}

/// A history as it is saved.
#[derive(Serialize, Deserialize)]
struct SavedHistory {
    /// Era of the registry that the router knew, which may have lost the rows of an earlier one.
    era: Era,
    /// When it was saved, in ms since the epoch.
    saved_at: u64,
    /// Time for which the history was complete, in ms; `None` if it was not.
    complete_ms: Option<u32>,
    services: BTreeMap<ServiceName, Vec<SavedVersion>>,
}

/// The software versions that each service had within a window.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    window: Duration,
    /// Since when all listed versions are known: zero if since ever, `None` before the first list.
    complete_since: Option<Duration>,
    /// When each version was last listed.
    last_listed: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Duration>>,
    /// When the list was last seen.
    listed_at: Duration,
}

impl Default for VersionHistory {
    fn default() -> VersionHistory {
        VersionHistory::new()
    }
}

impl VersionHistory {
    /// Creates the history of a router that knows no list yet.
    pub fn new() -> VersionHistory {
        VersionHistory {
            window: DEFAULT_WINDOW,
            complete_since: None,
            last_listed: BTreeMap::new(),
            listed_at: Duration::ZERO,
        }
    }

    /// Sets the time for which a version counts after it was last listed: that for which a caller may
    /// take up a stream.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window.min(MAX_VERSION_WINDOW);
    }

    /// Time for which a version counts after it was last listed.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Records that the whole fleet starts for the first time, so that no stream has begun before.
    pub fn note_first_start(&mut self) {
        self.complete_since = Some(Duration::ZERO);
    }

    /// Records the versions that the list has now, also those of endpoints that are leaving.
    pub fn note_listed(&mut self, listed: &ServiceVersions, now: Duration) {
        self.complete_since.get_or_insert(now);
        self.listed_at = now;
        for (service, versions) in listed {
            for version in versions {
                self.insert(service, version, now);
            }
        }
        self.last_listed.retain(|_, versions| {
            versions.retain(|_, last| now < *last + MAX_VERSION_WINDOW);
            !versions.is_empty()
        });
    }

    /// The version of a service, if it had no other one within the window.
    pub fn sole(&self, service: &str, now: Duration) -> Option<&SoftwareVersion> {
        let is_complete = self
            .complete_since
            .is_some_and(|since| now.saturating_sub(since) >= self.window || since.is_zero());
        let mut versions = self.recent(service, now);
        let sole = versions.next().filter(|_| is_complete)?;
        versions.next().is_none().then_some(sole)
    }

    /// Whether a service had several versions within the window.
    pub fn is_mixed(&self, service: &str, now: Duration) -> bool {
        self.recent(service, now).nth(1).is_some()
    }

    /// Whether any service had several versions within the window.
    pub fn has_mixed(&self, now: Duration) -> bool {
        let mut services = self.last_listed.keys();
        services.any(|service| self.is_mixed(service, now))
    }

    /// The versions of all services within the window.
    pub fn versions(&self, now: Duration) -> ServiceVersions {
        let services = self.last_listed.keys();
        let recent = services.map(|service| {
            let versions: BTreeSet<_> = self.recent(service, now).cloned().collect();
            (service.clone(), versions)
        });
        recent
            .filter(|(_, versions)| !versions.is_empty())
            .collect()
    }

    /// Encodes the history for routers that start. `era` is that of the registry. If it does not fit
    /// in a row, the history says that nothing is known.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn snapshot(
        &self,
        era: Era,
        now: Duration,
        wall: SystemTime,
    ) -> Result<Vec<u8>, postcard::Error> {
        let services = self.last_listed.iter().map(|(service, versions)| {
            let saved = versions.iter().map(|(version, last)| SavedVersion {
                version: version.clone(),
                age_ms: (*last < self.listed_at).then(|| millis(now.saturating_sub(*last))),
            });
            (service.clone(), saved.collect())
        });
        let mut saved = SavedHistory {
            era,
            saved_at: epoch_ms(wall),
            complete_ms: self
                .complete_since
                .map(|since| millis(now.saturating_sub(since))),
            services: services.collect(),
        };
        let bytes = postcard::to_allocvec(&saved)?;
        if bytes.len() <= MAX_SAVED_BYTES {
            return Ok(bytes);
        }
        saved.complete_ms = None;
        saved.services.clear();
        postcard::to_allocvec(&saved)
    }

    /// Adds a history that another router saved in the registry, whose era is now `era`; `None` if a
    /// router that is running sent it. Its versions that were listed then count as listed until now.
    ///
    /// Times are compared by wall clocks that may differ a little, so ages are taken to be shorter.
    ///
    /// # Errors
    ///
    /// The bytes are not a history.
    pub fn restore(
        &mut self,
        bytes: &[u8],
        era: Option<Era>,
        now: Duration,
        wall: SystemTime,
    ) -> Result<(), postcard::Error> {
        let saved: SavedHistory = postcard::from_bytes(bytes)?;
        let elapsed = Duration::from_millis(epoch_ms(wall).saturating_sub(saved.saved_at));
        let before = |age_ms: u32| {
            let age = Duration::from_millis(age_ms.into()).saturating_add(elapsed);
            now.saturating_sub(age.saturating_sub(CLOCK_TOLERANCE))
        };
        for (service, versions) in saved.services {
            for version in versions {
                let last = version.age_ms.map_or(now, before);
                self.insert(&service, &version.version, last);
            }
        }
        // A registry that came back from a copy may have lost a later history.
        if era.is_none_or(|era| era == saved.era)
            && let Some(complete_ms) = saved.complete_ms
        {
            let since = before(complete_ms);
            self.complete_since = Some(self.complete_since.map_or(since, |own| own.min(since)));
        }
        Ok(())
    }

    fn insert(&mut self, service: &str, version: &str, at: Duration) {
        let versions = match self.last_listed.get_mut(service) {
            Some(versions) => versions,
            None => self.last_listed.entry(service.to_string()).or_default(),
        };
        if let Some(last) = versions.get_mut(version) {
            *last = at.max(*last);
            return;
        }
        if versions.len() >= MAX_VERSIONS {
            let oldest = versions.iter().min_by_key(|(_, last)| **last);
            let oldest = oldest.map(|(version, _)| version.clone());
            oldest.and_then(|version| versions.remove(&version));
        }
        versions.insert(version.to_string(), at);
    }

    fn recent(&self, service: &str, now: Duration) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.last_listed.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, last)| now < **last + self.window);
        recent.map(|(version, _)| version)
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
