//! Ledgers with one protection missing each, which the history check has to catch.

use crate::support::FaultyTable;
use sequoiaridge_store::{Attribute, Cond, Op, Row, Table, TableError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Missing {
    /// Has every protection.
    Nothing,
    /// Takes over claims that are older than 10 s.
    NoTakeover,
    /// Treats a write without an answer as written.
    UnknownAsWritten,
    /// Treats a write without an answer as not written and claims again with another nonce.
    UnknownAsUnwritten,
    /// Releases and stores without the condition on the nonce.
    OwnNonce,
}

pub struct NaiveLedger {
    pub table: Arc<FaultyTable>,
    pub missing: Missing,
    pub start: Instant,
}

/// What a claimant learned.
#[derive(Clone, Debug, PartialEq)]
pub enum Learned {
    Held(u64),
    Stored(u32),
    Claimed,
    Unavailable,
}

impl NaiveLedger {
    pub async fn claim(&self, key: &str, id: u64, deadline: Duration) -> Learned {
        let mut nonce = id;
        while self.start.elapsed() < deadline {
            match self.put(key, nonce, None, Cond::Absent).await {
                Ok(()) => return Learned::Held(nonce),
                Err(TableError::Unknown) if self.missing == Missing::UnknownAsWritten => {
                    return Learned::Held(nonce);
                }
                Err(TableError::Unknown) if self.missing == Missing::UnknownAsUnwritten => {
                    nonce += 1 << 32;
                }
                Err(TableError::Refused) => {}
                Err(_) => match self.table.get(key).await {
                    Ok(Some(row)) => {
                        if let Some(learned) = self.decide(key, &row, nonce).await {
                            return learned;
                        }
                    }
                    _ => sleep(Duration::from_millis(50)).await,
                },
            }
        }
        Learned::Unavailable
    }

    async fn decide(&self, key: &str, row: &Row, nonce: u64) -> Option<Learned> {
        let holder = row.number("nonce")?;
        if let Some(answer) = row.number("answer") {
            return Some(Learned::Stored(answer as u32));
        }
        if holder == nonce {
            return Some(Learned::Held(nonce));
        }
        let age = self.start.elapsed().as_secs() - row.number("at")?;
        if self.missing != Missing::NoTakeover || age < 10 {
            return Some(Learned::Claimed);
        }
        let taken = self.put(key, nonce, None, own(holder)).await;
        taken.is_ok().then_some(Learned::Held(nonce))
    }

    pub async fn release(&self, key: &str, nonce: u64) -> bool {
        let (key, cond) = (key.to_string(), self.cond(nonce));
        let op = Op::Delete { key, cond };
        loop {
            match self.table.commit(vec![op.clone()], 0).await {
                Ok(()) | Err(TableError::Conflict { .. }) => return true,
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    pub async fn store(&self, key: &str, nonce: u64, answer: u32) -> bool {
        loop {
            match self.put(key, nonce, Some(answer), self.cond(nonce)).await {
                Ok(()) => return true,
                Err(TableError::Conflict { .. }) => return false,
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    fn cond(&self, nonce: u64) -> Cond {
        match self.missing {
            Missing::OwnNonce => Cond::None,
            _ => own(nonce),
        }
    }

    async fn put(
        &self,
        key: &str,
        nonce: u64,
        answer: Option<u32>,
        cond: Cond,
    ) -> Result<(), TableError> {
        let mut value = Row::new()
            .with_number("nonce", nonce)
            .with_number("at", self.start.elapsed().as_secs());
        if let Some(answer) = answer {
            value = value.with_number("answer", u64::from(answer));
        }
        let key = key.to_string();
        self.table
            .commit(vec![Op::Put { key, value, cond }], 0)
            .await
    }
}

fn own(nonce: u64) -> Cond {
    let value = Attribute::Number(nonce);
    Cond::Equals {
        attribute: "nonce",
        value,
    }
}
