//! Failure detection between routers, gossip and health of endpoints: state machines without I/O.
//!
//! [`Detector`] probes other routers, disseminates updates, load reports and crash notices by
//! gossip, and tracks the highest configuration version. [`EndpointHealth`] determines the health
//! of one endpoint from its probes. Callers pass the time and send the returned messages. See
//! section 4.5 of `docs/design.md`.
//!
//! ```
//! use sequoiaridge_membership::{Detector, DetectorConfig, MemberInfo, Message};
//! use std::time::Duration;
//!
//! let info = |id: &str, port| MemberInfo {
//!     id: id.to_string(),
//!     addr: ([127, 0, 0, 1], port).into(),
//!     domain: "tonala".to_string(),
//!     region: "west".to_string(),
//! };
//! let mut detector = Detector::new(DetectorConfig::new(info("router-1", 7001), 1, 42));
//! detector.set_list(&[info("router-2", 7002)], Duration::ZERO);
//! let sent = detector.tick(Duration::from_secs(1));
//! assert!(matches!(sent[0].message, Message::Probe { .. }));
//! ```

mod config;
mod crash;
mod detector;
mod digest;
mod flap;
mod health;
mod load;
mod message;
mod probe;
mod probe_schedule;
mod receive;
mod roster;
mod rumor;
mod sum;
mod totals;

pub use config::DetectorConfig;
pub use detector::{Detector, MemberEvent, PeerView};
pub use health::{EndpointHealth, EndpointReport, HealthConfig, HealthEvent, HealthState};
pub use load::{EndpointLoad, EndpointState, LoadReport};
pub use message::{
    CrashKind, CrashNotice, Digest, MemberInfo, Message, Outgoing, OwnerLoads, OwnerSums, SentLoad,
    SentSum, SumDigest, Update,
};
pub use probe_schedule::ProbeSchedule;
pub use roster::PeerState;
pub use sum::{CountScope, DomainSum, FleetSums, GroupSum, MAX_COUNTED_ENDPOINTS, OwnerSum};
