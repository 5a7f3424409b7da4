//! Rows of endpoints that several tests have in common.
#![allow(dead_code)]

use sequoiaridge_edge::{EndpointEntry, Entry, Position, Roster, Row, Rows};
use std::time::Duration;

/// When the tests begin.
pub const NOW: Duration = Duration::from_secs(100);

/// An endpoint that takes requests, unless it is leaving.
pub fn entry(id: &str, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "model".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "a".to_string(),
        slots: 8,
        leaving,
        cold: Duration::ZERO,
        born: Some(1),
        version: "v1".to_string(),
    }
}

/// A row of the first era.
pub fn row(id: &str, version: u64, entry: Entry) -> Row {
    row_at(Position::new(1, version), id, entry)
}

/// A row at a position.
pub fn row_at(position: Position, id: &str, entry: Entry) -> Row {
    Row {
        key: id.to_string(),
        position,
        entry,
    }
}

/// Rows up to a position of the first era.
pub fn rows(version: u64, rows: Vec<Row>) -> Rows {
    rows_at(Position::new(1, version), rows)
}

/// Rows up to a position.
pub fn rows_at(position: Position, rows: Vec<Row>) -> Rows {
    Rows {
        rows,
        position,
        next: None,
    }
}

/// A roster with one endpoint, e1.
pub fn roster() -> Roster {
    let mut roster = Roster::new();
    let joined = row("e1", 5, Entry::Endpoint(entry("e1", false)));
    roster.apply(rows(5, vec![joined]), false, NOW);
    roster
}

/// Number of endpoints that take requests.
pub fn accepting(roster: &Roster, now: Duration) -> usize {
    roster.accepting("model", now).count()
}
