//! Crashes of endpoints and what may have caused them.

use sequoiaridge_core::{EndpointId, Fingerprint};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// What may have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whoever sends it again.
    Request(Fingerprint),
    /// A part of prompts, by its id, in whichever request.
    Part(u64),
}

impl Suspect {
    /// Parses a suspect as it is displayed; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Suspect> {
        let (kind, id) = text.split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok()?;
        match kind {
            "request" => Some(Suspect::Request(id)),
            "part" => Some(Suspect::Part(id)),
            _ => None,
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Request(fingerprint) => write!(f, "request:{fingerprint:016x}"),
            Suspect::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

/// Identifies a crash: the endpoint, its boot id, and its earlier crashes under that boot id.
pub(crate) type CrashKey = (EndpointId, String, u32);

/// A crash of an endpoint, with one of its suspects; sent to all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// What ran on the endpoint.
    pub suspect: Suspect,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Boot id that the endpoint had before the crash.
    pub boot: String,
    /// Number of earlier crashes under the same boot id that were known when the request was sent:
    /// an endpoint may be back under its id before its new boot id is known.
    pub earlier: u32,
}

impl Crash {
    pub(crate) fn key(&self) -> CrashKey {
        (self.endpoint.clone(), self.boot.clone(), self.earlier)
    }
}

/// An event with its age, in the form in which routers send it: a crash, a successful run or the
/// departure of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// The event.
    pub value: T,
    /// Time since the event, in ms.
    pub age: u32,
}

impl<T> Aged<T> {
    /// Creates an event that happened `age` ago.
    pub fn new(value: T, age: Duration) -> Aged<T> {
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Aged { value, age }
    }

    /// Returns the time since the event.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age.into())
    }
}
