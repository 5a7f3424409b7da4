//! Bad input of callers is refused with a reason, and bad messages of strangers are dropped and
//! counted. Neither affects anyone else.

mod support;

use http::Method;
use sequoiaridge::wire::{PeerKeys, Sealer};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;
use support::fleet::Fleet;
use support::{Caller, chat_body};

/// Guards against faulty requests that reach an endpoint or are refused without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn mistakes_of_callers_are_refused_with_a_reason() {
    let fleet = Fleet::start_with(1, 1, 1, "limits: {body: 4096, arrival: 1}\n").await;
    let address = fleet.caller_address(0);
    let chat = "/v1/chat/completions";
    let good = chat_body(&["Scale it."], false);
    let large = chat_body(&["x".repeat(5000).as_str()], false);
    let no_model = good.replace("small", "unknown");
    let cases = [
        (chat, "chat", good.as_str(), 200, ""),
        (chat, "unknown", &good, 400, "unknown-class"),
        (chat, "chat", "{", 400, "bad-request"),
        (
            chat,
            "chat",
            "{\"model\":\"small\",\"messages\":[]}",
            400,
            "bad-request",
        ),
        (chat, "chat", &no_model, 404, "unknown-model"),
        (chat, "chat", &large, 413, "too-large"),
        ("/nowhere", "chat", &good, 400, "bad-request"),
        ("/services/nothing/path", "chat", "{}", 404, "unknown-model"),
        (
            "/services/booking/orders",
            "booking",
            "{}",
            400,
            "key-missing",
        ),
    ];
    for (path, class, body, status, refusal) in cases {
        let headers = [("x-work-class", class)];
        let sent = fleet
            .caller
            .send(address, Method::POST, path, &headers, body.to_string())
            .await;
        let reply = sent.expect("an answer");
        assert_eq!(
            (reply.status, reply.header("x-refusal")),
            (status, refusal),
            "{path} {body}"
        );
        if status != 200 {
            assert_eq!(reply.verdict(), "not-run");
            assert_eq!(reply.json()["error"]["type"], refusal);
            assert!(!reply.header("retry-after").is_empty());
        }
    }
    let stranger = Caller::new("no such token");
    let reply = stranger.chat(address, "chat", &["Scale it."], false).await;
    assert_eq!(
        (reply.status, reply.header("x-refusal")),
        (401, "bad-token")
    );
    assert_eq!(fleet.engine(0).counters().await.unwrap().runs, 1);
}

/// Guards against a caller that keeps a connection open by sending slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_is_ended() {
    let fleet = Fleet::start_with(1, 1, 0, "limits: {arrival: 1}\n").await;
    let address = fleet.caller_address(0);
    let answer = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    });
    let answer = answer.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("too-slow"), "{answer}");
}

/// Guards against harm by datagrams and connections of strangers: forged, replayed, malformed and
/// oversized messages are dropped and counted, and the fleet keeps serving.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_strangers_are_dropped_and_counted() {
    let fleet = Fleet::start(2, 2, 0).await;
    let peers = fleet.routers[0].address("peers");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = PeerKeys::from_hex(&"77".repeat(32), None).unwrap();
    let forged = Sealer::new(&stranger, "router-1".to_string(), 1)
        .seal(&"text")
        .unwrap();
    let member = PeerKeys::from_hex(&fleet.peer_key, None).unwrap();
    let sealer = Sealer::new(&member, "router-9".to_string(), 1);
    let replayed = sealer.seal(&0u8).unwrap();
    for datagram in [
        &forged[..],
        b"",
        b"short",
        &[0u8; 1500],
        &replayed,
        &replayed,
    ] {
        socket.send_to(datagram, peers).unwrap();
    }
    let mut stream = TcpStream::connect(peers).unwrap();
    stream.write_all(&[0xff; 4096]).unwrap();
    let operators = fleet.routers[0].address("operators");
    support::eventually("every kind of bad message is counted", || async {
        let reply = fleet
            .operator
            .send(operators, Method::GET, "/metrics", &[], "")
            .await
            .unwrap();
        let text = reply.text();
        let counted = |reason: &str| {
            text.lines().any(|line| {
                line.starts_with("sequoiaridge_peer_messages_rejected_total")
                    && line.contains(&format!("reason=\"{reason}\""))
                    && !line.ends_with(" 0")
            })
        };
        ["bad-tag", "replayed", "too-large", "malformed"]
            .iter()
            .all(|reason| counted(reason))
    })
    .await;
    for number in 0..4 {
        let id = format!("chat-{number}");
        let reply = fleet
            .caller
            .chat(fleet.caller_address(number % 2), &id, &["Scale it."], true)
            .await;
        reply.assert_done();
    }
}
