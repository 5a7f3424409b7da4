//! Rows of endpoints that no endpoint can be as they say.

mod row_parts;

use sequoiaridge_edge::{EndpointEntry, Entry};

fn entry() -> EndpointEntry {
    row_parts::entry("e1", false)
}

fn is_endpoint(entry: EndpointEntry) -> bool {
    matches!(Entry::endpoint(entry), Entry::Endpoint(_))
}

/// Guards against an endpoint that draws all requests of its service, or ends routers with an
/// overflow, because its row has a number of slots that is too large.
#[test]
fn a_row_with_too_many_slots_names_no_endpoint() {
    let with_slots = |slots| EndpointEntry { slots, ..entry() };
    assert!(is_endpoint(entry()));
    assert!(is_endpoint(with_slots(65_535)));
    for slots in [65_536, 3_435_973_837, u32::MAX] {
        assert!(!is_endpoint(with_slots(slots)), "{slots}");
    }
}

/// Guards against a change that no datagram holds, which no other router gets then, because a name in
/// the row is longer than any key of the registry.
#[test]
fn a_row_with_a_long_name_names_no_endpoint() {
    let name = |bytes: usize| "n".repeat(bytes);
    for (bytes, expected) in [(200, true), (201, false), (65_000, false)] {
        let entries = [
            EndpointEntry {
                id: name(bytes),
                ..entry()
            },
            EndpointEntry {
                service: name(bytes),
                ..entry()
            },
            EndpointEntry {
                domain: name(bytes),
                ..entry()
            },
        ];
        for entry in entries {
            assert_eq!(is_endpoint(entry), expected, "{bytes}");
        }
    }
}

/// Guards against a request that reaches whatever listens at the address of a row, because the row's
/// key cannot be sent as the id that the recipient compares with its own.
#[test]
fn an_id_that_no_header_holds_names_no_endpoint() {
    let with_id = |id: &str| EndpointEntry {
        id: id.to_string(),
        ..entry()
    };
    for id in ["i-7f3a91c2", "a:b/c.d_e~f", "two words", "\u{f6}dd"] {
        assert!(is_endpoint(with_id(id)), "{id:?}");
    }
    for id in ["", " i-1", "i-1 ", "i-1\n", "i\r\nx: 1", "i\0", "i\u{7f}"] {
        assert!(!is_endpoint(with_id(id)), "{id:?}");
    }
}

/// Guards against requests that are sent to the router's own machine, or fail, because a row has an
/// address that is that of no single machine.
#[test]
fn an_address_of_no_machine_names_no_endpoint() {
    let at = |address: &str| EndpointEntry {
        address: address.parse().expect("an address"),
        ..entry()
    };
    for address in ["10.0.0.1:1", "127.0.0.1:65535", "[fd00::1]:80"] {
        assert!(is_endpoint(at(address)), "{address}");
    }
    for address in [
        "10.0.0.1:0",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "239.1.1.1:80",
        "[::]:80",
        "[ff02::1]:80",
        "[::ffff:0.0.0.0]:80",
    ] {
        assert!(!is_endpoint(at(address)), "{address}");
    }
}

/// Guards against a log line as long as a row, which leaves no room for others where the reader of the
/// log is slow.
#[test]
fn the_reason_why_a_row_cannot_be_read_is_short() {
    let Entry::Malformed(reason) = Entry::malformed(&"\u{f6}".repeat(65_000)) else {
        panic!("not malformed");
    };
    assert_eq!(reason.chars().count(), 200);
}
