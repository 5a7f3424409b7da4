//! Simulation of placement that measures cache reuse, load skew and the load bound under churn.

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
/// Number of slots of each engine.
pub const CAPACITY: u32 = 32;

/// One turn of a chat that is to be placed on an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique number of the attempt.
    pub ticket: u64,
    /// Index of the chat in the workload.
    pub chat: usize,
    /// Key of the chat.
    pub key: ChatKey,
    /// Customer of the chat.
    pub customer: CustomerId,
    /// Number of tokens of the prompt.
    pub prompt: u64,
    /// Number of prompt tokens that an earlier turn already had as prompt or answer.
    pub reusable: u64,
    /// Number of tokens of the answer.
    pub output: u64,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Engines on which an attempt failed.
    pub excluded: Vec<EndpointId>,
}

/// Outcome of placing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs on this engine.
    Run(EndpointId),
    /// It waits in a queue until [`Placer::tick`] or [`Placer::finish`] starts or ends it.
    Queued,
    /// It did not run and may be sent again after this time.
    Refused(Duration),
}

/// Waiting requests that have left the queue.
#[derive(Clone, Debug, Default)]
pub struct Wakeups {
    /// Tickets of the requests that now run, with their engines.
    pub started: Vec<(u64, EndpointId)>,
    /// Tickets of the requests that ended without a run.
    pub ended: Vec<u64>,
}

/// Chooses engines for requests.
pub trait Placer {
    /// Places a request.
    fn place(&mut self, world: &mut World, request: &Request) -> Decision;
    /// Records the end of a run.
    fn finish(&mut self, world: &World, ticket: u64) -> Wakeups;
    /// Does what is due. It is called four times a second.
    fn tick(&mut self, world: &mut World) -> Wakeups;
    /// Applies a change and returns the tickets of the requests that fail because of it.
    fn change(&mut self, world: &mut World, change: &Change) -> Vec<u64>;
    /// Records that an engine did not accept the connection of a request.
    fn unreachable(&mut self, world: &World, engine: &EndpointId, ticket: u64);
    /// Returns the number of admissions that exceeded the load bound by the counts that the
    /// admitting router had.
    fn own_violations(&self) -> u64 {
        0
    }
}
