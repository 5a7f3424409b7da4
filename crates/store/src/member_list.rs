//! Fetches and parses the platform's membership list.

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

/// Maximum size of the list in bytes: 8,000 entries of 500 bytes, with room to grow.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Path of the list on the platform's server.
const LIST_PATH: &str = "/v1/members";

/// Why the list could not be fetched at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ListError {
    /// the platform did not respond with the membership list
    Unavailable,
    /// the platform responded with status {0} instead of the membership list
    Status(u16),
    /// the membership list is not a JSON list
    Malformed,
}

impl std::error::Error for ListError {}

/// Why one entry of the list was skipped.
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

/// The valid entries of a list, and the problems of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Valid entries, in the order of the list.
    pub members: Vec<Member>,
    /// One problem for each entry that was skipped.
    pub problems: Vec<EntryError>,
}

/// Result of [`MemberList::fetch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetched {
    /// The current list.
    pub list: Arc<Members>,
    /// Whether it differs from the list of the previous fetch.
    pub changed: bool,
    /// Size of the response body in bytes; zero if the list was not transferred again.
    pub bytes: usize,
}

/// Client of the membership list.
///
/// In a fleet of the target size the list has almost 8,000 entries. The platform's entity tag is
/// sent with each request, so that an unchanged list is neither transferred nor parsed again.
#[derive(Debug)]
pub struct MemberList {
    server: SocketAddr,
    client: Client,
    cache: Mutex<Option<CachedList>>,
}

/// The list of the last fetch, with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    tag: Option<HeaderValue>,
    list: Arc<Members>,
}

impl MemberList {
    /// Creates a client of the list at `server`.
    pub fn new(server: SocketAddr, client: Client) -> MemberList {
        MemberList {
            server,
            client,
            cache: Mutex::default(),
        }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// The list cannot be fetched or is not a JSON list. Invalid entries are reported in
    /// [`Members::problems`].
    pub async fn fetch(&self) -> Result<Fetched, ListError> {
        let cached = self.cached();
        let mut headers = HeaderMap::new();
        if let Some(tag) = cached.as_ref().and_then(|cached| cached.tag.clone()) {
            headers.insert(IF_NONE_MATCH, tag);
        }
        let (status, tag, body) = self.get(headers).await?;
        match (status, cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(Fetched {
                list: cached.list,
                changed: false,
                bytes: 0,
            }),
            (StatusCode::OK, cached) => {
                let list = Arc::new(Members::parse(&body)?);
                let changed = cached.is_none_or(|cached| cached.list != list);
                *self.lock() = Some(CachedList {
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
            let response = self
                .client
                .send(server, Method::GET, LIST_PATH, &headers, body)
                .await?;
            let (status, tag) = (response.status, response.headers.get(ETAG).cloned());
            Ok::<_, ClientError>((status, tag, response.bytes(MAX_LIST_BYTES).await?))
        };
        match tokio::time::timeout(platform::REQUEST_TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) | Err(_) => Err(ListError::Unavailable),
        }
    }

    fn cached(&self) -> Option<CachedList> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An entry of the list.
#[derive(Deserialize)]
struct TargetGroup {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

impl Members {
    /// Parses a list in the HTTP service discovery format: target groups with labels.
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
    let group: TargetGroup =
        serde_json::from_value(entry).map_err(|_| EntryError::Malformed { index })?;
    let bad_target = EntryError::Target { index };
    let [target] = group.targets.as_slice() else {
        return Err(bad_target);
    };
    let address = target.parse().map_err(|_| bad_target)?;
    let label = |name: &str| group.labels.get(name).map_or("", String::as_str);
    let required = |name: &'static str| match label(name) {
        "" => Err(EntryError::Label { index, label: name }),
        value => Ok(value.to_string()),
    };
    let serves = label("serves").split(',').map(str::trim);
    Ok(Member {
        id: required("id")?,
        role: parse(index, "role", &required("role")?, role)?,
        domain: required("domain")?,
        region: label("region").to_string(),
        state: parse(index, "state", &required("state")?, state)?,
        address,
        serves: serves
            .filter(|name| !name.is_empty())
            .map(str::to_string)
            .collect(),
        capacity: parse(index, "capacity", label("capacity"), capacity)?,
        deduplicates: parse(index, "deduplicates", label("deduplicates"), boolean)?,
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

/// Parses a boolean label. A missing label means false, so that each call to a service without the
/// label gets a claim.
fn boolean(text: &str) -> Option<bool> {
    match text {
        "" | "false" => Some(false),
        "true" => Some(true),
        _ => None,
    }
}
