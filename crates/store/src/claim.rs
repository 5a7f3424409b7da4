//! Claims on idempotency keys, stored responses, and the rows that hold them.

use crate::{Attribute, Cond, Key, Op, Row};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use sequoiaridge_core::{CustomerId, Nonce};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// Digest of a request. It tells a repeated request from a different one under the same key.
pub type RequestDigest = [u8; 32];

/// Prefix of the keys of all claim rows.
pub(crate) const CLAIM_PREFIX: &str = "claim/";
const NONCE: &str = "nonce";
const STATE: &str = "state";
const DIGEST: &str = "digest";
const WRITTEN: &str = "written";
const ANSWER: &str = "answer";
const OBJECT: &str = "object";

/// Result of [`ClaimLedger::claim`](crate::ClaimLedger::claim).
#[derive(Debug)]
pub enum Claim {
    /// The caller holds the claim and may dispatch the call once.
    Held(HeldClaim),
    /// An earlier call with the same key and digest got this response.
    Stored(StoredResponse),
}

/// What the table knows about an idempotency key: the result of
/// [`ClaimLedger::peek`](crate::ClaimLedger::peek).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// No call has claimed the key, or the claim was released or removed.
    Absent,
    /// A call with the key is running, or its outcome is unknown.
    Claimed,
    /// The key was used for a request with another digest.
    OtherRequest,
    /// The same request has finished with this response.
    Stored(StoredResponse),
}

/// A claim that this process holds.
///
/// It is passed to [`ClaimLedger::release`](crate::ClaimLedger::release) or
/// [`ClaimLedger::store`](crate::ClaimLedger::store) in the end. A claim that is dropped instead
/// stays in the table, and later calls with its key get the verdict "may have run".
#[derive(Debug)]
pub struct HeldClaim {
    pub(crate) customer: CustomerId,
    pub(crate) key: String,
    pub(crate) digest: RequestDigest,
    pub(crate) nonce: Nonce,
    pub(crate) deadline: Duration,
}

impl HeldClaim {
    /// The customer that owns the key.
    pub fn customer(&self) -> &CustomerId {
        &self.customer
    }

    /// The idempotency key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The random value that identifies this claim in the table.
    pub fn nonce(&self) -> Nonce {
        self.nonce
    }

    /// The time of the [`Clock`](sequoiaridge_core::Clock) from which the call must not be
    /// dispatched.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Key of the claim's row. Customer names contain no slash, so the key is unambiguous.
    pub(crate) fn row_key(&self) -> Key {
        claim_key(&self.customer, &self.key)
    }

    /// Name of the object that holds a response too large for the row.
    pub(crate) fn object_name(&self) -> String {
        format!("answers/{}/{}", self.customer, self.key)
    }

    /// The operation that inserts the claim, if the key has no row.
    pub(crate) fn insert(&self, written: u64) -> Op {
        Op::Put {
            key: self.row_key(),
            value: self.row(written).with_text(STATE, "claimed"),
            cond: Cond::Absent,
        }
    }

    /// The operation that deletes the claim, if the row still holds its nonce.
    pub(crate) fn delete(&self) -> Op {
        Op::Delete {
            key: self.row_key(),
            cond: self.if_held(),
        }
    }

    /// The operation that replaces the claim with a response, if the row still holds its nonce.
    pub(crate) fn finish(&self, written: u64, location: &ResponseLocation) -> Op {
        let row = self.row(written).with_text(STATE, "done");
        let value = match location {
            ResponseLocation::Inline(text) => row.with_text(ANSWER, text),
            ResponseLocation::Object(name) => row.with_text(OBJECT, name),
        };
        Op::Put {
            key: self.row_key(),
            value,
            cond: self.if_held(),
        }
    }

    fn row(&self, written: u64) -> Row {
        Row::new()
            .with_text(NONCE, nonce_text(self.nonce))
            .with_text(DIGEST, hex(&self.digest))
            .with_number(WRITTEN, written)
    }

    fn if_held(&self) -> Cond {
        Cond::Equals {
            attribute: NONCE,
            value: Attribute::Text(nonce_text(self.nonce)),
        }
    }
}

/// Key of the row of the claim on `key` of `customer`.
pub(crate) fn claim_key(customer: &str, key: &str) -> Key {
    format!("{CLAIM_PREFIX}{customer}/{key}")
}

/// Where the response of a finished claim is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ResponseLocation {
    /// In the row, as JSON.
    Inline(String),
    /// In the object store, under this name.
    Object(String),
}

/// What a claim row means to a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RowState {
    /// The row holds the reader's own nonce.
    Own,
    /// A call with the key is running, or its outcome is unknown. Rows that cannot be decoded count
    /// as claimed too.
    Claimed,
    /// A request with another digest has finished under this key.
    OtherRequest,
    /// The same request has finished.
    Done(ResponseLocation),
}

impl RowState {
    /// Interprets a row for the process that tries to insert `claim`.
    pub(crate) fn read(row: &Row, claim: &HeldClaim) -> RowState {
        if row.text(NONCE) == Some(&nonce_text(claim.nonce)) {
            return RowState::Own;
        }
        RowState::of(row, &claim.digest)
    }

    /// Interprets a row for a request that has made no claim.
    pub(crate) fn of(row: &Row, digest: &RequestDigest) -> RowState {
        if row.text(STATE) != Some("done") {
            return RowState::Claimed;
        }
        match row.text(DIGEST) {
            None => return RowState::Claimed,
            Some(known) if known != hex(digest) => return RowState::OtherRequest,
            Some(_) => {}
        }
        match (row.text(ANSWER), row.text(OBJECT)) {
            (Some(text), _) => RowState::Done(ResponseLocation::Inline(text.to_string())),
            (None, Some(name)) => RowState::Done(ResponseLocation::Object(name.to_string())),
            (None, None) => RowState::Claimed,
        }
    }
}

/// The operation that deletes a row written before `oldest`, in seconds since the Unix epoch;
/// `None` if the row is newer, or its nonce or time cannot be read.
pub(crate) fn removal(key: &Key, row: &Row, oldest: u64) -> Option<Op> {
    let nonce = row.text(NONCE)?;
    let cond = Cond::Equals {
        attribute: NONCE,
        value: Attribute::Text(nonce.to_string()),
    };
    let key = key.clone();
    (row.number(WRITTEN)? < oldest).then_some(Op::Delete { key, cond })
}

/// The HTTP response of a finished call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// Headers, in their order.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(serialize_with = "write_base64", deserialize_with = "read_base64")]
    pub body: Bytes,
}

fn write_base64<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn read_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let body = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
    Ok(body.into())
}

/// Formats a nonce as it is stored in rows: 32 hexadecimal digits.
pub(crate) fn nonce_text(nonce: Nonce) -> String {
    format!("{nonce:032x}")
}

fn hex(digest: &RequestDigest) -> String {
    blake3::Hash::from(*digest).to_hex().to_string()
}
