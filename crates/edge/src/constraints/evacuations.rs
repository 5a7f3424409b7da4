//! The evacuated failure domains. The load: an operator empties a domain while routers lose messages,
//! restart or are cut off from the registry.

use crate::registry::Position;
use sequoiaridge_core::{DomainId, id_key};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most domains that may be evacuated at the same time, so that the set fits in every message.
pub const MAX_EVACUATED: usize = 16;
/// Most domains whose evacuation ended that are remembered.
const MAX_ENDED: usize = 64;

/// Identifies a failure domain in messages: a hash of its name. Names may have 200 bytes, and a datagram
/// has no room for several of those.
pub type DomainKey = [u8; 4];

/// The key of a failure domain.
pub fn domain_key(domain: &str) -> DomainKey {
    id_key(domain)
}

/// The evacuated domains as of a position of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomains {
    /// Position of the last change of the set, or of the read of the whole table that returned it.
    pub position: Position,
    /// The domains.
    pub domains: BTreeSet<DomainKey>,
}

/// A row of the registry that starts or ends an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The domain.
    pub domain: DomainId,
    /// Position of the row.
    pub position: Position,
    /// Whether the domain is evacuated.
    pub evacuated: bool,
}

/// What changed for this router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// Domains that are evacuated now.
    pub started: Vec<DomainKey>,
    /// Domains that are no longer evacuated.
    pub ended: Vec<DomainKey>,
    /// Domains that are not evacuated because [`MAX_EVACUATED`] others are.
    pub rejected: Vec<DomainId>,
}

/// The evacuated domains as this router knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    known: Option<EvacuatedDomains>,
    /// When this router learned that an evacuation ended.
    ended: BTreeMap<DomainKey, Duration>,
}

impl Evacuations {
    /// Creates the state of a router that knows no set yet.
    pub fn new() -> Evacuations {
        Evacuations::default()
    }

    /// The set for other routers; `None` until one is known.
    pub fn known(&self) -> Option<&EvacuatedDomains> {
        self.known.as_ref()
    }

    /// Whether a domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        let known = self.known.as_ref().map(|known| &known.domains);
        known.is_some_and(|known| !known.is_empty() && known.contains(&domain_key(domain)))
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.known.as_ref().map_or(0, |known| known.domains.len())
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// When this router learned that the evacuation of a domain ended, if it did. The domain's endpoints
    /// have had no requests for a while then, so they count as cold.
    pub fn ended_at(&self, domain: &str) -> Option<Duration> {
        if self.ended.is_empty() {
            return None;
        }
        self.ended.get(&domain_key(domain)).copied()
    }

    /// Applies rows that changed. Rows up to the position of the known set are in it already.
    pub fn apply_changes(&mut self, rows: &[EvacuationRow], now: Duration) -> EvacuationUpdate {
        let mut set = self.known.clone().unwrap_or_default();
        let before = set.position;
        let mut rejected = Vec::new();
        let mut new: Vec<&EvacuationRow> =
            rows.iter().filter(|row| row.position > before).collect();
        new.sort_by_key(|row| row.position);
        for row in &new {
            set.position = row.position;
            let key = domain_key(&row.domain);
            if !row.evacuated {
                set.domains.remove(&key);
            } else if set.domains.len() < MAX_EVACUATED || set.domains.contains(&key) {
                set.domains.insert(key);
            } else {
                rejected.push(row.domain.clone());
            }
        }
        if new.is_empty() {
            return EvacuationUpdate::default();
        }
        EvacuationUpdate {
            rejected,
            ..self.replace(set, now)
        }
    }

    /// Applies the rows of the whole table as of `position`.
    pub fn apply_whole(
        &mut self,
        rows: &[EvacuationRow],
        position: Position,
        now: Duration,
    ) -> EvacuationUpdate {
        let mut rows: Vec<&EvacuationRow> = rows.iter().filter(|row| row.evacuated).collect();
        rows.sort_by_key(|row| row.position);
        let kept = rows.iter().take(MAX_EVACUATED);
        let set = EvacuatedDomains {
            position,
            domains: kept.map(|row| domain_key(&row.domain)).collect(),
        };
        let rejected = rows.iter().skip(MAX_EVACUATED);
        EvacuationUpdate {
            rejected: rejected.map(|row| row.domain.clone()).collect(),
            ..self.merge(set, now)
        }
    }

    /// Applies the set of another router, or of a read. Of two sets the one with the later position
    /// counts.
    pub fn merge(&mut self, set: EvacuatedDomains, now: Duration) -> EvacuationUpdate {
        let known = self.known.as_ref();
        if known.is_some_and(|known| known.position >= set.position)
            || set.domains.len() > MAX_EVACUATED
        {
            return EvacuationUpdate::default();
        }
        self.replace(set, now)
    }

    fn replace(&mut self, set: EvacuatedDomains, now: Duration) -> EvacuationUpdate {
        let before = self.known.take().unwrap_or_default().domains;
        let update = EvacuationUpdate {
            started: set.domains.difference(&before).copied().collect(),
            ended: before.difference(&set.domains).copied().collect(),
            rejected: Vec::new(),
        };
        for key in &update.started {
            self.ended.remove(key);
        }
        for key in &update.ended {
            self.ended.insert(*key, now);
        }
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.ended.remove(&key));
        }
        self.known = Some(set);
        update
    }
}
