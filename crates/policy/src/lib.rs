//! Placement, load bound, admission, retries and crash quarantine: decisions without I/O.
//!
//! Every type here is a state machine. It takes `now`, a [`Duration`](std::time::Duration) since an
//! arbitrary origin that never goes back, and returns decisions; the router carries them out. Equal
//! input gives equal decisions. Sections 4.1, 4.3 and 4.7 of `docs/design.md` hold the rules.
//!
//! * [`rank_top`] orders endpoints for a key, [`owner_of`] names the router that decides about one.
//! * [`ClassPolicy`] translates targets into decisions.
//! * [`RetryBudget`] and [`Backoff`] limit retries; [`Quarantine`] holds back requests that crash
//!   endpoints.

mod backoff;
mod call;
mod chat_index;
mod class_policy;
mod load_bound;
mod owner_of;
mod quarantine;
mod rank;
mod retry_budget;
mod suspect_slots;

pub use backoff::Backoff;
pub use call::{Call, TicketId};
pub use chat_index::{ChatEntry, ChatIndex};
pub use class_policy::ClassPolicy;
pub use load_bound::LoadBound;
pub use owner_of::{RouterInfo, owner_of};
pub use quarantine::{Crash, Quarantine, Standing};
pub use rank::{Candidate, rank_top};
pub use retry_budget::RetryBudget;
pub use suspect_slots::SuspectSlots;
