//! When a caller is asked to retry a request that was refused.

use rand::{Rng, RngExt};
use std::time::Duration;

/// `Retry-After` of refusals after which the caller should try another router.
pub(crate) const OTHER_ROUTER_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Mean `Retry-After` when no endpoint could take a request. Each value is jittered between 0.5 and
/// 1.5 times the mean, so that callers do not retry together.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` when no endpoint could take a request; `rest` is the time until the first endpoint's rest
/// ends, if all of them rest. The caller is then to retry once it has ended; the retries of callers that
/// came during the rest are spread over as much time again.
pub(crate) fn pause(rest: Option<Duration>, rng: &mut impl Rng) -> Duration {
    let usual = MEAN_RETRY_AFTER.mul_f64(rng.random_range(0.5..1.5));
    let Some(rest) = rest else {
        return usual;
    };
    rest + usual.max(rest.mul_f64(rng.random_range(0.0..1.0)))
}
