//! Commands that inject faults into a fake, and the counters that it keeps.
//!
//! Commands are sent as JSON to `POST /control`, for example `{"slow": {"ms": 50}}` or `"leave"`;
//! `GET /control` returns [`Counters`]. Requests to `/control` are exempt from every fault except a
//! crash.

mod client;
mod faults;
mod proxy;
pub(crate) mod seconds;
mod server;
mod slots;

pub use client::Control;
pub(crate) use faults::RequestFaults;
pub(crate) use server::{FakeServer, Identity, cut_marker, json};
pub(crate) use slots::Slot;

use serde::{Deserialize, Serialize};

/// A command that starts or ends a fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultCommand {
    /// Delays the start of the answers to all later requests; a delay of 0 ends the fault.
    Slow {
        /// Added delay in milliseconds.
        ms: u64,
    },
    /// Requests are received and run, but no byte of an answer is sent.
    Silent {
        /// Connections to which this applies.
        scope: Scope,
    },
    /// The next requests are refused with status 503 and `x-not-run: 1`.
    Refuse {
        /// Number of requests.
        count: u32,
    },
    /// A request whose body contains the text aborts the process. A fake that shares the process of
    /// the test cuts all connections instead and restarts with a new boot id.
    CrashOn {
        /// Text to look for; an empty text ends the fault.
        text: String,
        /// Time in milliseconds until a fake in the process of the test listens again.
        #[serde(default = "default_restart")]
        restart_ms: u64,
        /// Time in milliseconds from the start of the run to the crash.
        #[serde(default)]
        after_ms: u64,
    },
    /// The connections of the next requests are cut after the requests have run.
    Cut {
        /// Where in the answer the connection is cut.
        stage: Stage,
        /// Number of requests.
        count: u32,
    },
    /// `GET /load` reports `leaving`; requests are still served.
    Leave,
    /// `GET /load` reports `up` again.
    Unleave,
    /// The next answers carry the id and the content of another request.
    Crossed {
        /// Number of answers.
        count: u32,
    },
    /// The bodies of the next answers are sent twice.
    Duplicate {
        /// Number of answers.
        count: u32,
    },
    /// The next answers are delayed after the requests have run.
    Late {
        /// Delay in milliseconds.
        ms: u64,
        /// Number of answers.
        count: u32,
    },
    /// Ends every fault except leaving. Connections that are silent stay so.
    Heal,
}

/// Connections to which [`FaultCommand::Silent`] applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Connections that are open when the command arrives; new connections work.
    Open,
    /// Open and new connections.
    All,
}

/// Where in an answer a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Before the first byte of the answer.
    BeforeHead,
    /// After the head, before the first byte of the body.
    AfterHead,
    /// Half way through the body or its events.
    MidBody,
    /// Before the last event of a stream, or before the end marker of a whole body.
    BeforeEnd,
}

/// What a fake has done since its start. In the process of the test, the counters survive a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Name of the instance.
    pub id: String,
    /// Boot id; it changes with each crash.
    pub boot: String,
    /// Requests that started to run.
    pub runs: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that are running.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Highest number of requests that ran at the same time.
    pub highest: usize,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Output tokens that were generated.
    pub output_tokens: u64,
    /// Executed calls; empty for engines.
    pub journal: Vec<JournalEntry>,
}

/// How often a service executed one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Value of the header `Idempotency-Key`; empty without one.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call; invalid UTF-8 is replaced.
    pub body: String,
    /// Number of executions.
    pub runs: u64,
}

/// Report of `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the instance.
    pub id: String,
    /// Boot id.
    pub boot: String,
    /// Whether the instance takes new work.
    pub state: LoadState,
    /// Requests that are running.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that can run at the same time.
    pub capacity: usize,
    /// Models of an engine, or the name of a service.
    pub models: Vec<String>,
}

/// State in a [`Load`] report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// The instance takes new work.
    Up,
    /// The instance will go away.
    Leaving,
}

fn default_restart() -> u64 {
    200
}
