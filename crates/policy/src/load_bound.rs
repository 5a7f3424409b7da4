//! Bound on the load of one endpoint. See section 4.1 of `docs/design.md`.

/// Scale at which the multiple is held as an integer, which keeps the bound free of rounding
/// errors.
const MULTIPLE_SCALE: u128 = 1_000_000;

/// Bounds an endpoint's outstanding requests by a multiple of its fair share of the group's work.
///
/// With `w` outstanding requests in the group, counting the new one, the fair share of an endpoint
/// is `m = w * capacity / total`, and the bound is `max(floor(multiple * m), ceil(m))`.
///
/// *Some endpoint of a group can always admit.* If every endpoint refused one more request, each
/// would hold at least `ceil(m) >= m` requests, so the group would hold at least `w`. It holds `w -
/// 1`. While `w <= total`, `ceil(m) <= capacity`, so the endpoint that can admit also has a free
/// slot.
///
/// *A partitioned fleet keeps the bound.* Side `i` of the partition keeps `load_i <= max(multiple *
/// m_i, m_i + 1)` with `m_i` from its own work. The sum over the sides is at most `multiple * m`
/// plus one request per side, because the fair shares add up.
///
/// ```
/// use sequoiaridge_policy::LoadBound;
///
/// let bound = LoadBound { multiple: 1.25 };
/// // Twenty equal engines hold 100 requests: the mean is 5, and no engine may hold more than 6.
/// assert_eq!(bound.limit(100, 32, 20 * 32), 6);
/// // With one request in the group the mean is below one; one engine may still hold it.
/// assert_eq!(bound.limit(1, 32, 20 * 32), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Largest load as a multiple of the fair share; values below 1 act as 1.
    pub multiple: f64,
}

impl LoadBound {
    /// Returns the most requests that an endpoint of `capacity` slots may hold, counting the new
    /// one.
    ///
    /// `work` counts the outstanding requests of the group and the new one; `total` is the capacity
    /// of the group. A group without capacity admits nothing.
    pub fn limit(&self, work: u64, capacity: u64, total: u64) -> u64 {
        if total == 0 {
            return 0;
        }
        let share = u128::from(work) * u128::from(capacity);
        let total = u128::from(total);
        let multiple = (self.multiple.max(1.0) * MULTIPLE_SCALE as f64).round() as u128;
        let scaled = multiple.saturating_mul(share) / (total * MULTIPLE_SCALE);
        u64::try_from(scaled.max(share.div_ceil(total))).unwrap_or(u64::MAX)
    }
}

impl Default for LoadBound {
    /// Returns the bound with the default of `load.multiple`.
    fn default() -> LoadBound {
        LoadBound { multiple: 1.25 }
    }
}
