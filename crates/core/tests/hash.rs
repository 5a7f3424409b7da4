//! Hashes that every process and version must agree on.

use sequoiaridge_core::hash_parts;

/// Guards against hashes that differ between versions, or between short and long parts.
#[test]
fn hashes_of_parts_stay_the_same() {
    let cases = [
        (0, 0xc77b3abb6f87acd9, 0x99fdb59a17a45d60),
        (8, 0xa251859e7581971b, 0x726d0e0f9df9becc),
        (110, 0x8179d215f33696e0, 0xee0c537f0e247ed0),
        (111, 0x77248bf453eca108, 0xa98e1d4f327233c4),
        (119, 0x6042e46313294541, 0x4f3b5d616902cf41),
        (120, 0xc3693c2e548752ea, 0x8f7e8e6f1551e518),
        (121, 0x148e20dca5e8b3c8, 0xd509d4c869c9fc44),
        (500, 0x0df6ba7e3669932a, 0x3f553aa66b682984),
    ];
    for (length, alone, second) in cases {
        let part = vec![b'q'; length];
        assert_eq!(hash_parts(&[&part]), alone, "{length} bytes");
        assert_eq!(hash_parts(&[b"ab", &part]), second, "{length} bytes");
    }
}
