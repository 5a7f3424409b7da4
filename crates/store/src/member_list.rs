//! The platform's membership list.

use crate::platform;
use bytes::Bytes;
use displaydoc::Display;
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_core::{Member, MemberState, Role};
use sequoiaridge_http::Client;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Largest list in bytes: 8,000 entries of 500 bytes with room to grow.
const MAX_LIST: usize = 16 * 1024 * 1024;
const PATH: &str = "/v1/members";

/// A list that could not be fetched as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ListError {
    /// the platform did not answer with the membership list
    Unavailable,
    /// the platform answered with status {0} in place of the membership list
    Status(u16),
    /// the membership list is not a JSON list
    Malformed,
}

impl std::error::Error for ListError {}

/// An entry that was left out.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum EntryError {
    /// entry {index} of the membership list is not a target group
    Malformed {
        /// Position in the list.
        index: usize,
    },
    /// entry {index} of the membership list must have one target of the form IP:port
    Target {
        /// Position in the list.
        index: usize,
    },
    /// entry {index} of the membership list has no valid label {label:?}
    Label {
        /// Position in the list.
        index: usize,
        /// Name of the label.
        label: &'static str,
    },
    /// entry {index} of the membership list repeats the id {id:?}
    Repeated {
        /// Position in the list.
        index: usize,
        /// The id.
        id: String,
    },
}

impl std::error::Error for EntryError {}

/// The valid entries of a list and the problems of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Valid entries, in the order of the list.
    pub members: Vec<Member>,
    /// One problem for each entry that was left out.
    pub problems: Vec<EntryError>,
}

/// Client of the membership list.
#[derive(Clone, Debug)]
pub struct MemberList {
    server: SocketAddr,
    client: Client,
}

impl MemberList {
    /// A client of the list at `server`.
    pub fn new(server: SocketAddr, client: Client) -> MemberList {
        MemberList { server, client }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// The list cannot be read as a whole. Invalid entries are reported in [`Members::problems`].
    pub async fn fetch(&self) -> Result<Members, ListError> {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let (client, server) = (&self.client, self.server);
        let sent = platform::send(client, server, Method::GET, PATH, &headers, body, MAX_LIST);
        match sent.await.map_err(|_| ListError::Unavailable)? {
            (StatusCode::OK, list) => Members::parse(&list),
            (status, _) => Err(ListError::Status(status.as_u16())),
        }
    }
}

#[derive(Deserialize)]
struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl Members {
    /// Parses a list in the HTTP service discovery format.
    ///
    /// # Errors
    ///
    /// The list is not a JSON list.
    pub fn parse(list: &[u8]) -> Result<Members, ListError> {
        let entries: Vec<Value> = serde_json::from_slice(list).map_err(|_| ListError::Malformed)?;
        let mut parsed = Members::default();
        let mut ids = BTreeSet::new();
        for (index, entry) in entries.into_iter().enumerate() {
            match member(index, entry) {
                Ok(member) if !ids.insert(member.id.clone()) => {
                    let id = member.id;
                    parsed.problems.push(EntryError::Repeated { index, id });
                }
                Ok(member) => parsed.members.push(member),
                Err(problem) => parsed.problems.push(problem),
            }
        }
        Ok(parsed)
    }
}

fn member(index: usize, entry: Value) -> Result<Member, EntryError> {
    let group: Group =
        serde_json::from_value(entry).map_err(|_| EntryError::Malformed { index })?;
    let bad_target = EntryError::Target { index };
    let [target] = group.targets.as_slice() else {
        return Err(bad_target);
    };
    let address = target.parse().map_err(|_| bad_target)?;
    let label = |name: &str| group.labels.get(name).map_or("", String::as_str);
    let need = |name: &'static str| match label(name) {
        "" => Err(EntryError::Label { index, label: name }),
        value => Ok(value.to_string()),
    };
    let serves = label("serves").split(',').map(str::trim);
    Ok(Member {
        id: need("id")?,
        role: parse(index, "role", &need("role")?, role)?,
        domain: need("domain")?,
        region: label("region").to_string(),
        state: parse(index, "state", &need("state")?, state)?,
        address,
        serves: serves
            .filter(|name| !name.is_empty())
            .map(str::to_string)
            .collect(),
        capacity: parse(index, "capacity", label("capacity"), capacity)?,
        deduplicates: parse(index, "deduplicates", label("deduplicates"), flag)?,
    })
}

fn parse<T>(
    index: usize,
    label: &'static str,
    text: &str,
    read: fn(&str) -> Option<T>,
) -> Result<T, EntryError> {
    read(text).ok_or(EntryError::Label { index, label })
}

fn role(text: &str) -> Option<Role> {
    match text {
        "router" => Some(Role::Router),
        "engine" => Some(Role::Engine),
        "service" => Some(Role::Service),
        _ => None,
    }
}

fn state(text: &str) -> Option<MemberState> {
    match text {
        "live" => Some(MemberState::Live),
        "leaving" => Some(MemberState::Leaving),
        _ => None,
    }
}

fn capacity(text: &str) -> Option<u32> {
    match text {
        "" => Some(0),
        text => text.parse().ok(),
    }
}

/// Absent means false, so that a service without the label gets a claim for each call.
fn flag(text: &str) -> Option<bool> {
    match text {
        "" | "false" => Some(false),
        "true" => Some(true),
        _ => None,
    }
}
