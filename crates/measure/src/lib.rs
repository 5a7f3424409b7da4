//! Measurements of the decision code over a virtual clock.
//!
//! [`placement`] runs one workload against the owners of several routers and against baselines, and
//! reports cache reuse, skew and the load bound. [`control`] counts the sealed datagrams of many
//! detectors. [`config_bytes`] compares a full configuration with one change. Only the delays of
//! counts and of membership views are modelled, no network and no processes. Equal seeds give equal
//! figures; `docs/measurements.md` lists them.

pub mod config_bytes;
pub mod control;
pub mod placement;
