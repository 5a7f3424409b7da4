//! Cache reuse, skew and the load bound under churn.

mod baseline;
mod cache;
mod churn;
mod figures;
mod fleet;
mod router;
mod run;
mod workload;
mod world;

pub use baseline::Baseline;
pub use churn::{Change, Churn, Scenario};
pub use figures::Figures;
pub use fleet::Fleet;
pub use run::run;
pub use workload::Workload;
pub use world::World;

use sequoiaridge_core::{ChatKey, CustomerId, EndpointId};
use std::time::Duration;

/// Name of the only model.
pub const MODEL: &str = "model";
/// Slots of each engine.
pub const CAPACITY: u32 = 32;

/// One turn of a chat that asks for an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique number of the attempt.
    pub ticket: u64,
    /// Place of the chat in the workload.
    pub chat: usize,
    /// Key of the chat.
    pub key: ChatKey,
    /// Customer of the chat.
    pub customer: CustomerId,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that an earlier turn had as prompt or answer.
    pub returning: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// Attempts so far.
    pub attempts: u32,
    /// Engines on which an attempt failed.
    pub excluded: Vec<EndpointId>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs on this engine.
    Run(EndpointId),
    /// It waits; [`Placer::tick`] or [`Placer::finish`] starts or ends it.
    Waits,
    /// It did not run and is to come back after this time.
    Refused(Duration),
}

/// What became of waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Wakeups {
    /// Tickets that run now, with their engines.
    pub started: Vec<(u64, EndpointId)>,
    /// Tickets that ended without being run.
    pub ended: Vec<u64>,
}

/// Chooses engines for requests.
pub trait Placer {
    /// Places a request.
    fn place(&mut self, world: &mut World, request: &Request) -> Decision;
    /// Notes the end of a run.
    fn finish(&mut self, world: &World, ticket: u64) -> Wakeups;
    /// Does what is due; called four times a second.
    fn tick(&mut self, world: &mut World) -> Wakeups;
    /// Takes part in a change; returns the tickets that broke.
    fn change(&mut self, world: &mut World, change: &Change) -> Vec<u64>;
    /// Notes that an engine did not accept a connection.
    fn unreachable(&mut self, world: &World, engine: &EndpointId, ticket: u64);
    /// Admissions beyond the bound of the counts that the admitting router had.
    fn own_violations(&self) -> u64 {
        0
    }
}
