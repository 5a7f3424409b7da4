//! Simulations that measure the decision code on a virtual clock.
//!
//! [`placement`] runs one workload against the owners of several routers and against baselines, and
//! reports cache reuse, load skew and violations of the load bound. [`control`] counts the sealed
//! datagrams of many failure detectors. [`config_bytes`] compares the size of a whole configuration
//! with that of one change. Only the delays of load counts and of membership views are modelled;
//! there is no network and there are no processes. Equal seeds give equal figures, which
//! `docs/measurements.md` lists.

pub mod config_bytes;
pub mod control;
pub mod placement;
