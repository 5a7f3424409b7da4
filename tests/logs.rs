//! The log of a router process.

mod support;

use http::Method;
use sequoiaridge::core::Event;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::fleet::{CALLER, Fleet, OPERATOR};
use support::{Caller, eventually, temp_file};

const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";

/// A router process whose log the test reads.
struct LoggedRouter {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl LoggedRouter {
    /// Drains the router and returns its whole log.
    fn stop(mut self) -> String {
        let id = self.child.id().to_string();
        let killed = Command::new("kill").args(["-TERM", &id]).status();
        assert!(killed.unwrap().success());
        let mut log = String::new();
        let mut out = self.child.stderr.take().unwrap();
        out.read_to_string(&mut log).unwrap();
        assert!(self.child.wait().unwrap().success());
        log
    }
}

impl Drop for LoggedRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a router on the fleet's platform, with a log of this format at its most verbose level.
fn start_logged(fleet: &Fleet, format: &str) -> LoggedRouter {
    let platform = fleet.platform.address("http");
    let text = format!(
        "id: logged\ndomain: domain-0\nregion: local\n\
         listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
         platform: {{table: '{platform}', objects: '{platform}', members: '{platform}'}}\n\
         peers: {{key: '{KEY}'}}\nlog: {{level: trace, format: {format}}}\n"
    );
    let file = temp_file(&format!("logged-{}.yaml", platform.port()), &text);
    let mut child = Command::new(env!("CARGO_BIN_EXE_sequoiaridge"))
        .args(["run", "--config", file.to_str().unwrap()])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    out.read_line(&mut line).expect("the addresses");
    let address = |name: &str| {
        let word = line.split_whitespace().find_map(|w| w.strip_prefix(name));
        word.expect("an address").parse().expect("an address")
    };
    let (callers, operators) = (address("callers="), address("operators="));
    let peers = address("peers=");
    LoggedRouter {
        child,
        callers,
        operators,
        peers,
    }
}

/// Sends chats and requests that contain secrets to a router, and returns its whole log.
async fn log_with_secrets(format: &str) -> String {
    let fleet = Fleet::start(1, 1, 1).await;
    let logged = start_logged(&fleet, format);
    let (callers, operators) = (logged.callers, logged.operators);
    eventually("the router serves a chat", || async {
        let text = "CHAT-TEXT for forty covers";
        let reply = fleet.caller.chat(callers, "1", &[text], true).await;
        reply.status == 200
    })
    .await;
    let booked = fleet
        .caller
        .book(callers, "KEY-SECRET", r#"{"item":"BODY-TEXT"}"#)
        .await
        .expect("an answer");
    assert_eq!(booked.status, 200, "{}", booked.text());
    let stranger = Caller::new("GUESSED-TOKEN");
    assert_eq!(
        stranger
            .chat(callers, "1", &["CHAT-TEXT"], false)
            .await
            .status,
        401
    );
    for path in ["/admin/v1/status", "/admin/v1/a%0aFORGED-LINE", "/metrics"] {
        let sent = stranger.send(operators, Method::GET, path, &[], "");
        sent.await.expect("an answer");
    }
    let body = r#"{"tokens":["NOT-A-DIGEST"]}"#;
    let version = fleet.status(0).await.expect("a status")["version"].to_string();
    let headers = [("if-match", version.as_str())];
    let put = fleet.operator.send(
        operators,
        Method::PUT,
        "/admin/v1/customers/c",
        &headers,
        body,
    );
    assert_eq!(put.await.unwrap().status, 422);
    logged.stop()
}

/// Guards against chat text, request bodies, tokens, digests, idempotency keys and peer keys in the
/// log at its most verbose level, and against log lines that a client forges.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_holds_no_content_and_no_secrets() {
    let log = log_with_secrets("text").await;
    assert!(log.contains("router-started"), "{log}");
    assert!(
        log.contains("bad-token") && log.contains("admin-refused"),
        "{log}"
    );
    let digest = sequoiaridge::core::token_digest(CALLER);
    let hidden = [
        "CHAT-TEXT",
        "BODY-TEXT",
        "KEY-SECRET",
        "GUESSED-TOKEN",
        "NOT-A-DIGEST",
        CALLER,
        OPERATOR,
        KEY,
        &digest,
    ];
    for secret in hidden {
        assert!(!log.contains(secret), "{secret} in the log:\n{log}");
    }
    assert!(!log.lines().any(|line| line.starts_with("FORGED")), "{log}");
}

/// Guards against lines that a log collector cannot read as JSON, and against events whose number
/// and name are not in the catalogue.
#[tokio::test(flavor = "multi_thread")]
async fn json_lines_carry_number_and_name_of_their_event() {
    let log = log_with_secrets("json").await;
    let known: BTreeSet<(u64, &str)> = Event::ALL
        .iter()
        .map(|event| (u64::from(event.code()), event.name()))
        .collect();
    let mut seen = BTreeSet::new();
    for line in log.lines() {
        let line: serde_json::Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}"));
        let fields = &line["fields"];
        if let (Some(code), Some(name)) = (fields["code"].as_u64(), fields["name"].as_str()) {
            assert!(known.contains(&(code, name)), "{line}");
            seen.insert(code);
        }
    }
    for code in [100, 101, 110, 111, 400, 700] {
        assert!(seen.contains(&code), "event {code} is missing: {seen:?}");
    }
}

/// Guards against strangers who fill the disk on which logs are collected: the lines of one event
/// are limited per second, while the metrics count every datagram.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_cannot_flood_the_log() {
    const DATAGRAMS: usize = 3000;
    let fleet = Fleet::start(1, 1, 0).await;
    let logged = start_logged(&fleet, "text");
    let begin = Instant::now();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for number in 0..DATAGRAMS {
        socket.send_to(b"junk", logged.peers).unwrap();
        // Gives the router time to read, so that the buffer of its socket drops few datagrams.
        if number % 100 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let stranger = Caller::new("guess");
    let sent = stranger.send(logged.operators, Method::GET, "/metrics", &[], "");
    let metrics = sent.await.unwrap().text();
    let counted = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("sequoiaridge_peer_messages_rejected_total"))
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<usize>().ok())
        .sum::<usize>();
    let windows = begin.elapsed().as_secs() as usize + 2;
    let log = logged.stop();
    let lines = log
        .lines()
        .filter(|line| line.contains("peer-message-rejected"))
        .count();
    assert!(counted > DATAGRAMS / 2, "{counted} datagrams were counted");
    assert!(
        lines <= 201 * windows && lines < counted,
        "{lines} lines, {counted} datagrams"
    );
}
