//! What one attempt brought, from which the exchange decides whether another one follows.

use sequoiaridge_core::{RefusalReason, RetryReason};

/// Outcome of one attempt, with an answer of type `A`.
pub(super) enum Outcome<A> {
    Answer(A),
    /// A buffered answer whose endpoint may have crashed within it, of a request that may be
    /// repeated.
    Unsure(A),
    NotRun(RefusalReason, RetryReason),
    MayHaveRun(RefusalReason, RetryReason),
}
