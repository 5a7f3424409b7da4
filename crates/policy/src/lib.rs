//! Placement, load bound, admission, retries and crash quarantine, without I/O.
//!
//! Every type here is a state machine. It takes `now`, a monotonic
//! [`Duration`](std::time::Duration) since an arbitrary origin, and returns decisions, which the
//! router carries out. Equal input gives equal decisions. Sections 4.1, 4.3 and 4.7 of
//! `docs/design.md` define the rules.
//!
//! * [`rank_top`] ranks endpoints for a key; [`owner_of`] selects the router that owns an endpoint.
//! * [`Owner`] admits calls to the endpoints of one router, with [`LoadBound`], [`ChatIndex`],
//!   [`FairQueue`] and [`SuspectSlots`].
//! * [`ClassPolicy`] derives limits and priorities from the targets of a class.
//! * [`RetryBudget`] and [`Backoff`] limit retries; [`Quarantine`] holds back requests that crash
//!   endpoints.
//!
//! ```
//! use sequoiaridge_policy::{EndpointInfo, EndpointState, Owner, OwnerConfig};
//! use std::time::Duration;
//!
//! let mut owner = Owner::new(OwnerConfig::default());
//! let info = EndpointInfo {
//!     id: "engine-1".to_string(),
//!     capacity: 32,
//!     groups: vec!["small".to_string()],
//!     state: EndpointState::Up,
//!     owned: true,
//!     joined: None,
//! };
//! owner.set_endpoint(info, Duration::ZERO);
//! // An endpoint admits nothing before its first successful probe.
//! assert!(!owner.is_open("engine-1", Duration::ZERO));
//! owner.record_probe("engine-1", 0, Duration::ZERO);
//! assert!(owner.is_open("engine-1", Duration::ZERO));
//! ```

mod attribution;
mod backoff;
mod call;
mod chat_index;
mod class_policy;
mod crash;
mod customer_share;
mod endpoint;
mod fair_queue;
mod group_total;
mod load_bound;
mod owner;
mod owner_config;
mod owner_of;
mod placement;
mod quarantine;
mod rank;
mod retry_budget;
mod successes;
mod suspect_slots;
mod wait_estimator;

pub use attribution::SYNC_MIN_CRASHES;
pub use backoff::Backoff;
pub use call::{Call, TicketId};
pub use chat_index::{ChatEntry, ChatIndex};
pub use class_policy::ClassPolicy;
pub use crash::{Aged, Crash, Suspect};
pub use customer_share::CustomerShare;
pub use endpoint::{EndpointInfo, EndpointState};
pub use fair_queue::{FairQueue, PushOutcome, WaitingCall};
pub use group_total::{GroupTotal, RemoteTotals};
pub use load_bound::LoadBound;
pub use owner::Owner;
pub use owner_config::{OwnerConfig, OwnerConfigBuilder};
pub use owner_of::{RouterInfo, owner_of};
pub use placement::{Placement, RefusedCall, StartedCall};
pub use quarantine::{Block, Quarantine, QuarantineState};
pub use rank::{Candidate, rank_top};
pub use retry_budget::RetryBudget;
pub use suspect_slots::SuspectSlots;
pub use wait_estimator::WaitEstimator;
