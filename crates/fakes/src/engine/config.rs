//! Settings of a fake engine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of an [`Engine`](super::Engine). Files give times in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the instance.
    pub id: String,
    /// Models that the engine serves.
    pub models: Vec<String>,
    /// Requests that run at the same time.
    pub capacity: usize,
    /// Requests that may wait for a slot; any further request is refused as not run.
    pub queue: usize,
    /// Time for each prompt token that is not cached.
    #[serde(with = "crate::control::seconds")]
    pub prompt_token: Duration,
    /// Time for each output token.
    #[serde(with = "crate::control::seconds")]
    pub output_token: Duration,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Age of the counts in load reports.
    #[serde(with = "crate::control::seconds")]
    pub load_lag: Duration,
    /// Whether a crash aborts the process; only for an engine in a process of its own.
    pub abort: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            id: "engine-1".to_string(),
            models: vec!["model".to_string()],
            capacity: 8,
            queue: 8,
            prompt_token: Duration::from_micros(20),
            output_token: Duration::from_millis(1),
            cache_tokens: 100_000,
            load_lag: Duration::ZERO,
            abort: false,
        }
    }
}
