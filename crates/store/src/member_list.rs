//! The platform's membership list.

use crate::platform;
use bytes::Bytes;
use displaydoc::Display;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, StatusCode};
use sequoiaridge_core::{Member, MemberState, Role};
use sequoiaridge_http::{Client, ClientError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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

/// Result of [`MemberList::fetch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// The list as it is now.
    pub list: Arc<Members>,
    /// Whether it differs from the list of the fetch before.
    pub changed: bool,
    /// Size of the answer's body in bytes.
    pub bytes: usize,
}

/// Client of the membership list.
///
/// At the target size the list has almost 8,000 entries. The platform's entity tag is sent with each
/// request, so that a list which has not changed is neither transferred nor parsed again.
#[derive(Debug)]
pub struct MemberList {
    server: SocketAddr,
    client: Client,
    known: Mutex<Option<Known>>,
}

/// The list of the last fetch with its entity tag.
#[derive(Clone, Debug)]
struct Known {
    tag: Option<HeaderValue>,
    list: Arc<Members>,
}

impl MemberList {
    /// A client of the list at `server`.
    pub fn new(server: SocketAddr, client: Client) -> MemberList {
        MemberList {
            server,
            client,
            known: Mutex::default(),
        }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// The list cannot be read as a whole. Invalid entries are reported in [`Members::problems`].
    pub async fn fetch(&self) -> Result<Fetched, ListError> {
        let known = self.known();
        let mut headers = HeaderMap::new();
        if let Some(tag) = known.as_ref().and_then(|known| known.tag.clone()) {
            headers.insert(IF_NONE_MATCH, tag);
        }
        let (status, tag, body) = self.get(headers).await?;
        match (status, known) {
            (StatusCode::NOT_MODIFIED, Some(known)) => Ok(Fetched {
                list: known.list,
                changed: false,
                bytes: 0,
            }),
            (StatusCode::OK, known) => {
                let list = Arc::new(Members::parse(&body)?);
                let changed = known.is_none_or(|known| known.list != list);
                *self.lock() = Some(Known {
                    tag,
                    list: list.clone(),
                });
                Ok(Fetched {
                    list,
                    changed,
                    bytes: body.len(),
                })
            }
            (status, _) => Err(ListError::Status(status.as_u16())),
        }
    }

    async fn get(
        &self,
        headers: HeaderMap,
    ) -> Result<(StatusCode, Option<HeaderValue>, Bytes), ListError> {
        let exchange = async {
            let (server, body) = (self.server, Bytes::new());
            let answer = self
                .client
                .send(server, Method::GET, PATH, &headers, body)
                .await?;
            let (status, tag) = (answer.status, answer.headers.get(ETAG).cloned());
            Ok::<_, ClientError>((status, tag, answer.whole(MAX_LIST).await?))
        };
        match tokio::time::timeout(platform::TIMEOUT, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(ListError::Unavailable),
        }
    }

    fn known(&self) -> Option<Known> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
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
