//! Splitting of feeds into datagrams.

use sequoiaridge_edge::{
    ChangedRow, EndpointEntry, EvacuatedDomains, Feed, PeerMessage, Position, RowChange,
    TableDigest,
};
use sequoiaridge_wire::{PeerKeys, Sealer};
use std::time::Duration;

/// A change whose endpoint has an id and other names of this length.
fn change(version: u64, name_bytes: usize) -> ChangedRow {
    let id = format!("{version:0>name_bytes$}");
    let entry = EndpointEntry {
        id: id.clone(),
        version: "v1".to_string(),
        service: "s".repeat(name_bytes),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "d".repeat(name_bytes),
        slots: 8,
        leaving: false,
        cold: Duration::MAX,
        born: Some(u64::MAX),
    };
    (
        id,
        Position::new(u32::MAX, u64::MAX - 20 + version),
        RowChange::Listed(entry),
    )
}

fn feed(sizes: &[usize]) -> Feed {
    let changes = (1..).zip(sizes);
    Feed {
        from: Position::new(u32::MAX, u64::MAX - 20),
        to: Position::new(u32::MAX, u64::MAX - 20 + sizes.len() as u64),
        changed: changes
            .map(|(version, size)| change(version, *size))
            .collect(),
    }
}

fn digest() -> TableDigest {
    let position = Position::new(u32::MAX, u64::MAX);
    TableDigest {
        floor: position,
        last_change: position,
        revision: position,
        age_ms: u32::MAX,
        reader: u32::MAX,
    }
}

/// Seals the message that carries a part of a feed, as the router of a long domain does.
fn seal(part: Feed) -> Result<Vec<u8>, sequoiaridge_wire::WireError> {
    let keys = PeerKeys::from_bytes([7; 32], None);
    let sealer = Sealer::new(&keys, "edge-with-a-long-name-1".to_string(), u64::MAX);
    let message = PeerMessage {
        address: Some("10.0.0.1:7340".parse().expect("an address")),
        domain: "a-domain-with-a-long-name".to_string(),
        link_mbps: u32::MAX,
        configuration: Some(digest()),
        endpoints: Some(digest()),
        crash_digest: u32::MAX,
        feed: Some(part),
        evacuations: Some(EvacuatedDomains {
            position: Position::new(u32::MAX, u64::MAX),
            domains: (0..16).map(|index| [index, 255, 255, 255]).collect(),
        }),
        ..PeerMessage::default()
    };
    sealer.seal(&message)
}

/// Guards against a part of a feed that fits in no datagram because ids and names are as long as
/// the registry allows; then no router gets the changes in it, nor those after it.
#[test]
fn each_part_of_a_feed_fits_in_a_datagram() {
    for sizes in [[200; 13], [10; 13], [60; 13]] {
        let whole = feed(&sizes);
        let parts = whole.clone().into_parts();
        let mut from = whole.from;
        let mut changed = Vec::new();
        for part in parts {
            assert_eq!(part.from, from);
            from = part.to;
            changed.extend(part.changed.clone());
            seal(part).expect("a datagram");
        }
        assert_eq!((from, changed), (whole.to, whole.changed));
    }
}
