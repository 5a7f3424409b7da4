//! Tests framed streams: handshake, cancelled receives, forged bytes, silence and the connection
//! pool.

use bytes::Bytes;
use proptest::prelude::*;
use sequoiaridge_core::{Refusal, RefusalReason, Verdict};
use sequoiaridge_wire::{
    CallFrame, Frame, FrameStream, Header, IndexEntry, LinkError, LinkPool, LinkPoolConfig,
    PeerKeys, StreamConfig, VersionedChange, WireError,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpListener;
use tokio::time::timeout;

fn keys(current: u8, previous: Option<u8>) -> PeerKeys {
    let hex = |byte: u8| format!("{byte:02x}").repeat(32);
    PeerKeys::from_hex(&hex(current), previous.map(hex).as_deref()).unwrap()
}

fn config() -> StreamConfig {
    StreamConfig {
        max_frame: 4096,
        handshake_timeout: Duration::from_secs(10),
    }
}

fn chunk(size: usize) -> Frame {
    Frame::Chunk(Bytes::from(vec![7; size]))
}

fn call() -> Frame {
    Frame::Call(Box::new(CallFrame {
        id: 9,
        customer: "acme".to_string(),
        class: "chat".to_string(),
        group: "model-a".to_string(),
        endpoint: "engine-1".to_string(),
        method: "POST".to_string(),
        path: "/v1/chat/completions".to_string(),
        headers: vec![Header::new("x-odd", &b"\xff\x00"[..])],
        body: Bytes::from_static(b"{}"),
        chat: Some(3),
        key: None,
        fingerprint: 4,
        remaining: Duration::from_millis(1500),
        asked: 1,
        next: vec!["engine-3".to_string()],
        lookup: true,
        substitute: true,
        excluded: vec!["engine-2".to_string()],
        suspect: true,
    }))
}

type Stream = FrameStream<DuplexStream>;

async fn pair(
    connecting: PeerKeys,
    accepting: PeerKeys,
) -> (Result<Stream, LinkError>, Result<Stream, LinkError>) {
    let (a, b) = duplex(256);
    let config = config();
    tokio::join!(
        FrameStream::connect(a, &connecting, &config),
        FrameStream::accept(b, &accepting, &config),
    )
}

/// Guards against frames that arrive changed, also on the halves of a split stream.
#[tokio::test]
async fn every_frame_arrives_as_sent() {
    let (a, b) = pair(keys(1, None), keys(2, Some(1))).await;
    let ((mut reader, writer), mut peer) = (a.unwrap().split(), b.unwrap());
    let change = Bytes::from_static(b"{}");
    let frames = [
        call(),
        Frame::Head {
            status: 200,
            headers: vec![],
        },
        chunk(3000),
        Frame::End,
        Frame::Fail(Refusal::not_run(
            RefusalReason::Overload,
            Duration::from_secs(2),
        )),
        Frame::Forward {
            endpoint: "engine-3".to_string(),
            next: vec!["engine-4".to_string()],
            lookup: true,
        },
        Frame::NotOwner,
        Frame::Keepalive,
        Frame::ConfigPull { since: 8 },
        Frame::ConfigPush {
            changes: vec![VersionedChange {
                version: 9,
                change: change.clone(),
            }],
            snapshot: Some(change),
        },
        Frame::IndexPush {
            entries: vec![IndexEntry {
                chat: 5,
                endpoint: "engine-1".to_string(),
                age: Duration::from_secs(60),
            }],
        },
        Frame::Ack,
    ];
    for frame in &frames {
        let (sent, received) = tokio::join!(peer.send(frame), reader.recv());
        sent.unwrap();
        assert_eq!(received.unwrap().as_ref(), Some(frame));
    }
    drop((reader, writer));
    assert_eq!(peer.recv().await, Ok(None));
}

/// Guards against accepting peers without the key, and against verdicts that would forbid a retry.
#[tokio::test]
async fn wrong_key_is_refused_on_both_sides() {
    let (a, b) = pair(keys(1, None), keys(2, None)).await;
    assert_eq!(b.unwrap_err(), LinkError::Handshake(WireError::BadTag));
    assert_eq!(a.unwrap_err().verdict(), Verdict::NotRun);
    let (a, mut silent) = duplex(256);
    let handshake_timeout = Duration::from_millis(50);
    let hasty = StreamConfig {
        handshake_timeout,
        ..config()
    };
    let result = FrameStream::connect(a, &keys(1, None), &hasty).await;
    assert_eq!(
        result.unwrap_err(),
        LinkError::HandshakeTimeout(handshake_timeout)
    );
    // An echo of the connecting side's own hello must not pass as the peer's hello.
    let mut hello = [0; 52];
    silent.read_exact(&mut hello).await.unwrap();
    let (a, mut echo) = duplex(256);
    let task = tokio::spawn(async move {
        let mut hello = [0; 52];
        echo.read_exact(&mut hello).await.unwrap();
        echo.write_all(&hello).await.unwrap();
    });
    let result = FrameStream::connect(a, &keys(1, None), &config()).await;
    assert_eq!(result.unwrap_err(), LinkError::Handshake(WireError::BadTag));
    task.await.unwrap();
}

/// Guards against losing bytes when a receive or a send is dropped in the middle of a frame.
#[tokio::test]
async fn cancelled_calls_lose_nothing() {
    let (a, b) = pair(keys(1, None), keys(1, None)).await;
    let (mut a, mut b) = (a.unwrap(), b.unwrap());
    for size in [1000, 2000] {
        // The pipe holds 256 bytes, so neither side can finish alone.
        let tick = Duration::from_millis(2);
        assert!(timeout(tick, a.send(&chunk(size))).await.is_err());
        assert!(timeout(tick, b.recv()).await.is_err());
    }
    let (sent, received) = tokio::join!(a.send(&Frame::End), async {
        [b.recv().await, b.recv().await, b.recv().await]
    });
    sent.unwrap();
    let expected = [chunk(1000), chunk(2000), Frame::End];
    assert_eq!(received, expected.map(|frame| Ok(Some(frame))));
}

/// Guards against oversized frames, and against a silent peer that counts as healthy.
#[tokio::test]
async fn limits_and_silence_are_reported() {
    let (a, b) = pair(keys(1, None), keys(1, None)).await;
    let (mut a, mut b) = (a.unwrap(), b.unwrap());
    let large = a.send(&chunk(5000)).await.unwrap_err();
    assert!(matches!(
        large,
        LinkError::Unsent(WireError::TooLarge { limit: 4096, .. })
    ));
    assert_eq!(large.verdict(), Verdict::NotRun);
    a.send(&Frame::Keepalive).await.unwrap();
    let limit = Duration::from_millis(20);
    assert_eq!(b.recv_within(limit).await, Ok(Some(Frame::Keepalive)));
    let silent = b.recv_within(limit).await.unwrap_err();
    assert_eq!(silent, LinkError::Silent(limit));
    assert!(silent.to_string().contains("no frame arrived for 20ms"));
}

/// Sends `frames` through a relay that lets `alter` change their bytes, and returns the results of
/// receiving them. The relay forwards the handshake unchanged.
fn altered(
    frames: &[Frame],
    alter: impl FnOnce(&mut Vec<u8>),
) -> Vec<Result<Option<Frame>, LinkError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let ((a, mut a_far), (mut b_far, b)) = (duplex(1 << 20), duplex(1 << 20));
        let (keys, config) = (keys(1, None), config());
        let relay = async {
            let (mut hello, mut proof) = ([0; 52], [0; 16]);
            a_far.read_exact(&mut hello).await.unwrap();
            b_far.write_all(&hello).await.unwrap();
            b_far.read_exact(&mut hello).await.unwrap();
            a_far.write_all(&hello).await.unwrap();
            a_far.read_exact(&mut proof).await.unwrap();
            b_far.write_all(&proof).await.unwrap();
        };
        let (a, b, ()) = tokio::join!(
            FrameStream::connect(a, &keys, &config),
            FrameStream::accept(b, &keys, &config),
            relay
        );
        let (mut a, mut b) = (a.unwrap(), b.unwrap());
        for frame in frames {
            a.send(frame).await.unwrap();
        }
        drop(a);
        let mut bytes = Vec::new();
        a_far.read_to_end(&mut bytes).await.unwrap();
        alter(&mut bytes);
        b_far.write_all(&bytes).await.unwrap();
        drop(b_far);
        let mut received = Vec::new();
        while received.len() <= frames.len() && !matches!(received.last(), Some(Err(_) | Ok(None)))
        {
            received.push(b.recv().await);
        }
        received
    })
}

proptest! {
    /// Guards against accepting frames that were altered or truncated.
    #[test]
    fn altered_streams_are_refused(at in any::<prop::sample::Index>(), bit in 0..8u8, cut: bool) {
        let frames = [call(), Frame::End];
        let mut position = 0;
        let received = altered(&frames, |bytes| {
            position = at.index(bytes.len());
            match cut {
                true => bytes.truncate(position),
                false => bytes[position] ^= 1 << bit,
            }
        });
        prop_assert!(received.len() <= frames.len());
        let whole = received.iter().filter(|r| matches!(r, Ok(Some(_)))).count();
        prop_assert!(whole < frames.len());
        for (received, sent) in received.iter().zip(&frames) {
            prop_assert!(!matches!(received, Ok(Some(frame)) if frame != sent));
        }
        let at_boundary = cut && matches!(received.last(), Some(Ok(None)));
        prop_assert!(at_boundary || matches!(received.last(), Some(Err(_))));
    }
}

/// Guards against accepting a recorded frame that is replayed on the same connection.
#[test]
fn repeated_frame_is_refused() {
    let received = altered(&[Frame::End], |bytes| bytes.extend(bytes.clone()));
    let refused = Err(LinkError::Refused(WireError::BadTag));
    assert_eq!(received, [Ok(Some(Frame::End)), refused]);
}

/// Guards against reusing a connection that is too old, was closed or has unread frames, and
/// against a pool that grows without bound.
#[tokio::test]
async fn pool_reuses_only_quiet_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, mut accepted) = tokio::sync::mpsc::unbounded_channel();
    let server = tokio::spawn(async move {
        while let Ok((io, _)) = listener.accept().await {
            let stream = FrameStream::accept(io, &keys(1, None), &config())
                .await
                .unwrap();
            sender.send(stream).unwrap();
        }
    });
    let (idle_timeout, silence) = (Duration::from_secs(1), Duration::from_millis(100));
    let limits = LinkPoolConfig {
        per_peer: 2,
        idle_timeout,
        silence,
        ..LinkPoolConfig::default()
    };
    let links = LinkPool::new(keys(1, None), limits);

    links.checkin(links.checkout(addr).await.unwrap());
    let link = links.checkout(addr).await.unwrap();
    assert!(link.reused() && links.idle() == 0);
    links.checkin(link);
    let mut peer = accepted.recv().await.unwrap();
    peer.send(&Frame::End).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut link = links.checkout(addr).await.unwrap();
    assert!(
        !link.reused(),
        "a connection with an unread frame was reused"
    );

    assert!(matches!(link.recv().await, Err(LinkError::Silent(_))));
    links.checkin(link);
    drop(accepted.recv().await);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(
        !links.checkout(addr).await.unwrap().reused(),
        "a closed connection was reused"
    );

    let mut open = Vec::new();
    for _ in 0..3 {
        open.push(links.connect(addr).await.unwrap());
    }
    open.into_iter().for_each(|link| links.checkin(link));
    assert_eq!(links.idle(), 2);
    tokio::time::sleep(idle_timeout).await;
    assert_eq!(links.idle(), 0, "an old connection was kept");
    server.abort();
    let refused = links
        .connect("127.0.0.1:1".parse().unwrap())
        .await
        .unwrap_err();
    assert!(matches!(refused, LinkError::Connect { .. }) && refused.verdict() == Verdict::NotRun);
}
