//! The handshake that opens a connection between routers.
//!
//! The connecting side sends its nonce with a tag under its current key. The tag tells the
//! accepting side which of its two keys to use. Both sides then derive the session key from the
//! peer key and both nonces, and prove that they hold it. A recorded handshake cannot be replayed,
//! because the accepting side draws a new nonce each time.

use crate::key::{Key, PeerKeys, TAG_BYTES, Tag};
use crate::{LinkError, WireError};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// First bytes of each hello: the name and version of the protocol.
const MAGIC: [u8; 4] = *b"SRP2";
const NONCE_BYTES: usize = 32;
const HELLO_BYTES: usize = MAGIC.len() + NONCE_BYTES + TAG_BYTES;

/// Domain separation labels of the hashes under the peer and session keys. They keep a tag made for
/// one purpose from being accepted for another, and are all of equal length.
const HELLO: &[u8; 8] = b"sr-hello";
const SESSION: &[u8; 8] = b"sr-sessn";
const ACCEPTED: &[u8; 8] = b"sr-accpt";
const CONFIRMED: &[u8; 8] = b"sr-confm";

type Nonce = [u8; NONCE_BYTES];

/// Performs the handshake of the connecting side; returns the session key.
pub(crate) async fn connect<S>(io: &mut S, keys: &PeerKeys) -> Result<Key, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own: Nonce = rand::random();
    write(io, &hello(&own, &keys.current.tag(&[HELLO, &own]))).await?;
    let (theirs, tag) = read_hello(io).await?;
    let session = session_key(&keys.current, &own, &theirs);
    if !session.verify(&[ACCEPTED], &tag) {
        return Err(LinkError::Handshake(WireError::BadTag));
    }
    write(io, &session.tag(&[CONFIRMED])).await?;
    Ok(session)
}

/// Performs the handshake of the accepting side; returns the session key.
pub(crate) async fn accept<S>(io: &mut S, keys: &PeerKeys) -> Result<Key, LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (theirs, tag) = read_hello(io).await?;
    let refused = || LinkError::Handshake(WireError::BadTag);
    let key = keys.matching(&[HELLO, &theirs], &tag).ok_or_else(refused)?;
    let own: Nonce = rand::random();
    let session = session_key(&key, &theirs, &own);
    write(io, &hello(&own, &session.tag(&[ACCEPTED]))).await?;
    let mut proof: Tag = [0; TAG_BYTES];
    io.read_exact(&mut proof).await.map_err(broken)?;
    if !session.verify(&[CONFIRMED], &proof) {
        return Err(refused());
    }
    Ok(session)
}

fn session_key(key: &Key, connecting: &Nonce, accepting: &Nonce) -> Key {
    key.derive(&[SESSION, connecting, accepting])
}

fn hello(nonce: &Nonce, tag: &Tag) -> Vec<u8> {
    [&MAGIC[..], nonce, tag].concat()
}

async fn read_hello<S: AsyncRead + Unpin>(io: &mut S) -> Result<(Nonce, Tag), LinkError> {
    let mut hello = [0; HELLO_BYTES];
    io.read_exact(&mut hello).await.map_err(broken)?;
    let (magic, rest) = hello.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(LinkError::Handshake(WireError::Malformed));
    }
    let (nonce, tag) = rest.split_at(NONCE_BYTES);
    let nonce = nonce.try_into().expect("length of the nonce");
    Ok((nonce, tag.try_into().expect("length of the tag")))
}

async fn write<S: AsyncWrite + Unpin>(io: &mut S, bytes: &[u8]) -> Result<(), LinkError> {
    io.write_all(bytes).await.map_err(broken)?;
    io.flush().await.map_err(broken)
}

fn broken(error: std::io::Error) -> LinkError {
    LinkError::HandshakeBroken(error.to_string())
}
