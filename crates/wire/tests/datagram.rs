//! Tests that datagrams round-trip, and that anything not authentic or not new is refused.

use proptest::prelude::*;
use sequoiaridge_wire::{KeyError, MAX_DATAGRAM, Opener, PeerKeys, Sealer, WireError};

fn keys(current: u8, previous: Option<u8>) -> PeerKeys {
    let hex = |byte: u8| format!("{byte:02x}").repeat(32);
    PeerKeys::from_hex(&hex(current), previous.map(hex).as_deref()).unwrap()
}

fn sealer(key: u8, incarnation: u64) -> Sealer {
    Sealer::new(&keys(key, None), "router-1".to_string(), incarnation)
}

type Body = (u64, String, Vec<Option<u16>>);

proptest! {
    /// Guards against lost content, and against accepting an altered, truncated or repeated
    /// datagram.
    #[test]
    fn only_whole_datagrams_are_accepted_once(
        body in (any::<u64>(), ".{0,40}", prop::collection::vec(any::<Option<u16>>(), 0..40)),
        at in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let datagram = sealer(1, 7).seal::<Body>(&body).unwrap();
        let mut opener = Opener::new(&keys(1, None));
        let at = at.index(datagram.len());
        prop_assert!(opener.open::<Body>(&datagram[..at]).is_err());
        let mut forged = datagram.clone();
        forged[at] ^= 1 << bit;
        prop_assert_eq!(opener.open::<Body>(&forged), Err(WireError::BadTag));
        let opened = opener.open::<Body>(&datagram);
        prop_assert_eq!(opened, Ok(("router-1".to_string(), 7, body)));
        prop_assert_eq!(opener.open::<Body>(&datagram), Err(WireError::Replayed));
    }

    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn random_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..1400)) {
        let mut opener = Opener::new(&keys(1, Some(2)));
        prop_assert!(opener.open::<Body>(&bytes).is_err());
        prop_assert_eq!(opener.senders(), 0);
    }

    /// Guards against a replay window that accepts a number twice, or refuses a late one that is
    /// within 64 of the highest.
    #[test]
    fn replay_window(order in prop::collection::vec(0..200usize, 1..300)) {
        let sealer = sealer(1, 1);
        let datagrams: Vec<_> = (0..200u32).map(|n| sealer.seal(&n).unwrap()).collect();
        let mut opener = Opener::new(&keys(1, None));
        let mut seen = std::collections::BTreeSet::new();
        for number in order {
            let old = seen.last().is_some_and(|&highest| highest >= number + 64);
            let accepted = opener.open::<u32>(&datagrams[number]).is_ok();
            prop_assert_eq!(accepted, !old && !seen.contains(&number));
            seen.insert(number);
        }
    }
}

/// Guards against refusing routers that have not swapped their keys yet during a rotation.
#[test]
fn both_keys_are_accepted_during_rotation() {
    let mut opener = Opener::new(&keys(2, Some(1)));
    assert!(opener.open::<u8>(&sealer(1, 1).seal(&1u8).unwrap()).is_ok());
    assert!(opener.open::<u8>(&sealer(2, 2).seal(&1u8).unwrap()).is_ok());
    let unknown = sealer(3, 3).seal(&1u8).unwrap();
    assert_eq!(opener.open::<u8>(&unknown), Err(WireError::BadTag));
}

/// Guards against accepting messages of a router's previous process after its restart.
#[test]
fn older_incarnation_is_refused() {
    let (old, new) = (sealer(1, 5), sealer(1, 6));
    let late = old.seal(&1u8).unwrap();
    let mut opener = Opener::new(&keys(1, None));
    assert!(opener.open::<u8>(&old.seal(&1u8).unwrap()).is_ok());
    assert!(opener.open::<u8>(&new.seal(&1u8).unwrap()).is_ok());
    assert_eq!(opener.open::<u8>(&late), Err(WireError::OldIncarnation));
}

/// Guards against oversized datagrams, trailing bytes and unbounded memory for senders.
#[test]
fn sizes_are_bounded() {
    let large = sealer(1, 1).seal(&vec![0u8; MAX_DATAGRAM]);
    assert!(matches!(
        large,
        Err(WireError::TooLarge { limit: 1200, .. })
    ));
    let mut opener = Opener::with_senders(&keys(1, None), 3);
    let oversized = opener.open::<u8>(&[0; MAX_DATAGRAM + 1]);
    assert!(matches!(oversized, Err(WireError::TooLarge { .. })));
    let trailing = sealer(1, 1).seal(&(1u8, 2u8)).unwrap();
    assert_eq!(opener.open::<u8>(&trailing), Err(WireError::Malformed));
    for name in 0..10 {
        let sealer = Sealer::new(&keys(1, None), name.to_string(), 1);
        assert!(opener.open::<u8>(&sealer.seal(&1u8).unwrap()).is_ok());
    }
    assert_eq!(opener.senders(), 3);
}

/// Guards against error messages that do not say which key is wrong and why, and against keys in
/// logs.
#[test]
fn key_errors_name_key_and_fault() {
    let short = PeerKeys::from_hex("abcd", None).unwrap_err();
    assert!(
        short
            .to_string()
            .contains("current peer key has 4 characters")
    );
    let good = "5a".repeat(32);
    let digit = PeerKeys::from_hex(&good, Some(&good.replace("a5", "x5"))).unwrap_err();
    assert_eq!(
        digit,
        KeyError::Digit {
            which: "previous",
            position: 2
        }
    );
    let shown = format!("{:?}", PeerKeys::from_hex(&good, None).unwrap());
    assert!(!shown.contains("90") && !shown.contains("5a"), "{shown}");
}
