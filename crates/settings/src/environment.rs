//! Settings from environment variables.

use std::fmt;

/// Environment variable of the fleet's peer key; it takes precedence over `peers.key`.
pub const PEER_KEY: &str = "SEQUOIARIDGE_PEER_KEY";
/// Environment variable of the previous peer key; it takes precedence over `peers.previous_key`.
pub const PREVIOUS_PEER_KEY: &str = "SEQUOIARIDGE_PREVIOUS_PEER_KEY";

/// The environment variables that settings use. Its `Debug` form hides their values.
#[derive(Clone, Default)]
pub struct Environment {
    /// Value of [`PEER_KEY`].
    pub peer_key: Option<String>,
    /// Value of [`PREVIOUS_PEER_KEY`].
    pub previous_peer_key: Option<String>,
}

impl Environment {
    /// Reads the environment of the process. A value that is not UTF-8 is converted to an invalid
    /// key, so that it is reported instead of ignored.
    pub fn from_process() -> Environment {
        let read = |name| std::env::var_os(name).map(|v| v.to_string_lossy().into_owned());
        Environment {
            peer_key: read(PEER_KEY),
            previous_peer_key: read(PREVIOUS_PEER_KEY),
        }
    }
}

impl fmt::Debug for Environment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = |value: &Option<String>| if value.is_some() { "hidden" } else { "not set" };
        f.debug_struct("Environment")
            .field("peer_key", &state(&self.peer_key))
            .field("previous_peer_key", &state(&self.previous_peer_key))
            .finish()
    }
}
