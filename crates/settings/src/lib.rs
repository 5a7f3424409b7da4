//! Settings of one router process.
//!
//! [`Settings::load`] reads a YAML file, fills in defaults, checks every limit and reports all
//! problems at once. Each [`Problem`] names the file, line, field, limit and remedy. All fields are
//! listed in `docs/configuration.md` and in [`FIELDS`]. Durations are given in seconds.
//!
//! ```
//! use sequoiaridge_settings::{Environment, Settings};
//!
//! let problems = Settings::parse("id: r1\nlinks: { silence: 0 }", &Environment::default());
//! let problems = problems.unwrap_err();
//! assert!(problems.iter().any(|problem| problem.field == "links.silence"));
//! assert!(problems.iter().any(|problem| problem.field == "peers.key"));
//! ```

mod checks;
mod environment;
mod fields;
mod problem;
mod reader;
mod secret;
mod settings;
mod table;
mod tree;
mod values;

pub use environment::{Environment, PEER_KEY, PREVIOUS_PEER_KEY};
pub use fields::{DefaultValue, Field, FieldKind};
pub use problem::{Problem, ProblemKind};
pub use secret::Secret;
pub use settings::{
    Bootstrap, Cache, Claims, Config, Drain, Health, Limits, Links, Listen, Load, Log, LogFormat,
    LogLevel, Peers, Platform, Quarantine, Retry, Settings,
};
pub use table::FIELDS;
