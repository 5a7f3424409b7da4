//! Weighted rendezvous hashing of endpoints. See section 4.1 of `docs/design.md`.

use sequoiaridge_core::{ChatKey, EndpointId, hash_parts, hash64};
use std::cmp::Ordering;

/// Spacing of the doubles in (0, 1) to which hashes are mapped.
const STEP: f64 = 1.0 / (1u64 << 53) as f64;
/// Relative margin that exceeds the rounding errors in a comparison of scores.
const ROUNDING_MARGIN: f64 = 1e-9;

/// An endpoint that may serve a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    id: EndpointId,
    capacity: u32,
    hash: u64,
}

impl Candidate {
    /// Creates a candidate. Its id is hashed once here instead of in every ranking.
    ///
    /// `capacity` is the number of slots that the endpoint itself reports.
    pub fn new(id: EndpointId, capacity: u32) -> Candidate {
        let hash = hash_parts(&[id.as_bytes()]);
        Candidate { id, capacity, hash }
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Returns the slots of the endpoint, which are its weight in the ranking.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Maps this candidate and `key` to a uniform value in (0, 1).
    fn uniform(&self, key: ChatKey) -> f64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&key.to_le_bytes());
        bytes[8..].copy_from_slice(&self.hash.to_le_bytes());
        // Half a step keeps the value away from 0 and 1, where the score is not finite.
        ((hash64(&bytes) >> 11) as f64 + 0.5) * STEP
    }

    /// The rendezvous score `-capacity / ln(u)`.
    fn score(&self, u: f64) -> f64 {
        -f64::from(self.capacity) / u.ln()
    }

    /// Whether the score is certainly below `least`. Since `-ln(u) >= 1 - u`, this test needs no
    /// logarithm, which is the larger part of a ranking's cost. The margin covers rounding errors.
    fn is_below(&self, u: f64, least: f64) -> bool {
        f64::from(self.capacity) < least * (1.0 - u) * (1.0 - ROUNDING_MARGIN)
    }
}

/// Returns the ids of the `k` best candidates for `key`, best first.
///
/// Candidates without capacity are left out. Every router computes the same ranking from the same
/// candidates, whatever their order in the slice. Adding or removing a candidate only moves the
/// keys that rank it first.
///
/// ```
/// use sequoiaridge_policy::{Candidate, rank_top};
///
/// let engines: Vec<_> = (0..9).map(|i| Candidate::new(format!("e{i}"), 32)).collect();
/// let top = rank_top(7, &engines, 3);
/// assert_eq!(top.len(), 3);
/// assert_eq!(top[..1], rank_top(7, &engines, 1)[..]);
/// ```
pub fn rank_top(key: ChatKey, candidates: &[Candidate], k: usize) -> Vec<EndpointId> {
    if k == 0 {
        return Vec::new();
    }
    let mut best: Vec<(f64, &Candidate)> = Vec::with_capacity(k.min(candidates.len()) + 1);
    for candidate in candidates.iter().filter(|c| c.capacity > 0) {
        let u = candidate.uniform(key);
        if best.len() == k && candidate.is_below(u, best[k - 1].0) {
            continue;
        }
        let entry = (candidate.score(u), candidate);
        if best.len() == k && compare(&entry, &best[k - 1]) != Ordering::Less {
            continue;
        }
        let at = best.partition_point(|kept| compare(kept, &entry) == Ordering::Less);
        best.insert(at, entry);
        best.truncate(k);
    }
    best.into_iter().map(|(_, c)| c.id.clone()).collect()
}

/// Orders by descending score; equal scores by id, so that the order is total.
fn compare(a: &(f64, &Candidate), b: &(f64, &Candidate)) -> Ordering {
    b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id))
}
