//! Identifiers, clock, verdicts, reasons, events and the fleet configuration.
//!
//! All other crates of the fleet share these types. Nothing here does I/O.
//!
//! The central type is [`Verdict`], which says whether a request may have run. Every error carries
//! one, because the verdict alone decides whether a call may be retried. See section 4.3 of
//! `docs/design.md`.
//!
//! ```
//! use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
//! use std::time::Duration;
//!
//! let refusal = Refusal::not_run(RefusalReason::Overload, Duration::from_secs(2));
//! assert_eq!(refusal.verdict, Verdict::NotRun);
//! ```

mod clock;
mod config;
mod event;
mod hash;
mod id;
mod member;
mod reason;
mod targets;
mod verdict;

pub use clock::{Clock, ManualClock, SystemClock};
pub use config::{
    Change, ChangeError, Class, Customer, FleetConfig, MAX_CLASSES, MAX_CUSTOMERS, MAX_TEAMS,
    MAX_TOKENS, Team, valid_name,
};
pub use event::{Event, Severity};
pub use hash::{hash_parts, hash64, id_key, token_digest};
pub use id::{
    ChatKey, ClassName, CustomerId, DomainId, EndpointId, Fingerprint, InstanceId, ModelName,
    Nonce, RegionId, RouterId, TeamId, Version,
};
pub use member::{Member, MemberState, Role};
pub use reason::{RefusalReason, RetryReason};
pub use targets::{Repeat, TargetError, Targets};
pub use verdict::{Refusal, Verdict};
