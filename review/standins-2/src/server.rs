//! Stand-in of a server, which runs as a process of its own.
//!
//! What a request asks for stands in its header `Work`, which the routers forward like other headers:
//! comma-separated NAME=VALUE entries.
//!
//! | entry | meaning |
//! |---|---|
//! | `events`, `gap` | a stream of so many events, with this pause in ms |
//! | `body` | an answer with so many bytes |
//! | `half` | pause in ms after the first half of the body |
//! | `framing` | `length`, `chunks` or `connection`: what marks the end of the answer |
//! | `last` | 1: the process of a leaving server exits after this answer, its last one |

use crate::http::{Message, read_request};
use std::collections::BTreeMap;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a server process is started with.
#[derive(Clone, Debug)]
pub struct ServerArgs {
    /// Id under which the store lists the server.
    pub id: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// File to which it writes what it runs.
    pub log: PathBuf,
    /// Time before the first byte of an answer.
    pub delay: Duration,
}

/// Milliseconds since the epoch.
pub fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

type Log = Arc<Mutex<std::fs::File>>;

fn note(log: &Log, line: &str) {
    let mut file = log.lock().expect("the log");
    let _ = writeln!(file, "{} {line}", epoch_ms());
}

/// Serves until the process is killed or has given its last answer.
pub fn run(args: &ServerArgs) -> Result<()> {
    let listener = TcpListener::bind(args.address)?;
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&args.log)?;
    let log: Log = Arc::new(Mutex::new(file));
    for stream in listener.incoming().flatten() {
        let (args, log) = (args.clone(), log.clone());
        std::thread::spawn(move || serve(stream, &args, &log));
    }
    Ok(())
}

fn serve(stream: TcpStream, args: &ServerArgs, log: &Log) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let attempt = request.header("attempt-id").to_string();
        if request.header("expect-instance") != args.id {
            let head = format!(
                "HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let after = request.header("last-event-id");
        note(
            log,
            &format!(
                "run attempt={attempt} target={} after={after}",
                request.target()
            ),
        );
        let work = parse_work(&request);
        let outcome = answer(&mut writer, &request, &work, args);
        let is_last = number(&work, "last") == 1;
        match &outcome {
            Ok(_) => note(log, &format!("ended attempt={attempt} outcome=whole")),
            Err(error) => note(
                log,
                &format!("ended attempt={attempt} outcome=broken {error}"),
            ),
        }
        if is_last && outcome.is_ok() {
            std::process::exit(0);
        }
        if !matches!(outcome, Ok(true)) {
            return;
        }
    }
}

fn parse_work(request: &Message) -> BTreeMap<String, String> {
    let entries = request.header("work").split(',');
    let pairs = entries.filter_map(|entry| entry.split_once('='));
    pairs
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect()
}

fn number(work: &BTreeMap<String, String>, name: &str) -> u64 {
    work.get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Answers a request. Returns whether the connection can be used again.
fn answer(
    writer: &mut TcpStream,
    request: &Message,
    work: &BTreeMap<String, String>,
    args: &ServerArgs,
) -> Result<bool> {
    std::thread::sleep(args.delay);
    let framing = work.get("framing").map_or("length", String::as_str);
    let events = number(work, "events");
    let body = vec![b'x'; usize::try_from(number(work, "body")).unwrap_or(0)];
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: of-{}\r\n",
        request.header("attempt-id"),
        args.id
    );
    head += match framing {
        "chunks" => "Transfer-Encoding: chunked\r\n",
        "connection" => "Connection: close\r\n",
        _ => "",
    };
    if framing == "length" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    if events > 0 {
        head += "Content-Type: text/event-stream\r\n";
    }
    writer.write_all(format!("{head}\r\n").as_bytes())?;
    let mut send = |data: &[u8]| -> Result<()> {
        if framing == "chunks" {
            let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
            chunk.extend_from_slice(data);
            chunk.extend_from_slice(b"\r\n");
            return writer.write_all(&chunk);
        }
        writer.write_all(data)
    };
    if events > 0 {
        let after = request.header("last-event-id").parse().unwrap_or(0u64);
        for event in after + 1..=events {
            send(format!("id: {event}\ndata: token-{event}\n\n").as_bytes())?;
            std::thread::sleep(Duration::from_millis(number(work, "gap")));
        }
    } else {
        let (first, second) = body.split_at(body.len() / 2);
        send(first)?;
        std::thread::sleep(Duration::from_millis(number(work, "half")));
        send(second)?;
    }
    if framing == "chunks" {
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(framing != "connection")
}
