//! Authenticated datagrams and framed streams between routers.
//!
//! [`Sealer`] and [`Opener`] encode and check datagrams. [`FrameStream`] carries [`Frame`]s over a
//! TCP connection, and [`LinkPool`] keeps idle connections per peer. The encoding is postcard; every
//! datagram and frame carries a 16-byte keyed BLAKE3 tag. See section 4.6 of `docs/design.md`.
//!
//! ```
//! use sequoiaridge_wire::{Opener, PeerKeys, Sealer};
//!
//! let keys = PeerKeys::from_hex(&"5a".repeat(32), None).unwrap();
//! let sealer = Sealer::new(&keys, "router-1".to_string(), 1);
//! let datagram = sealer.seal(&42u32).unwrap();
//! let (sender, incarnation, value) = Opener::new(&keys).open::<u32>(&datagram).unwrap();
//! assert_eq!((sender.as_str(), incarnation, value), ("router-1", 1, 42));
//! ```

mod datagram;
mod error;
mod frame;
mod handshake;
mod key;
mod link_pool;
mod stream;

pub use datagram::{MAX_DATAGRAM, Opener, Sealer};
pub use error::{LinkError, WireError};
pub use frame::{CallFrame, Frame, Header, IndexEntry, Reach, TurnRequest, VersionedChange};
pub use key::{KeyError, PeerKeys};
pub use link_pool::{Link, LinkPool, LinkPoolConfig};
pub use stream::{FrameReader, FrameStream, FrameWriter, StreamConfig};
