//! Stand-in of a server, which runs as a process of its own so that a signal can end it.
//!
//! What a request asks for stands in its query: `work` (ms before the answer begins), `parts` and
//! `pause` (ms between them), and `framing` (`length`, `chunks` or `none`).

use crate::http::{Head, read_body, read_head};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that run at once, and that wait.
pub const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Size from which a request is long, and how a server reads on after it has rejected one early.
const LONG: usize = 1_000_000;
const LATER_BYTES: usize = 32 * 1024;
const LATER_PAUSE: Duration = Duration::from_millis(100);

/// The parts of the answer to an attempt: lines for an order, events for a stream.
pub fn part(attempt: &str, number: usize, streams: bool, version: &str) -> String {
    if streams {
        format!("id: {number}\ndata: piece {number} of {attempt} by {version}\n\n")
    } else {
        format!("line {number} of the confirmation of {attempt}\n")
    }
}

/// The whole body of the answer to an attempt.
pub fn whole(attempt: &str, parts: usize, streams: bool, version: &str) -> String {
    (1..=parts)
        .map(|number| part(attempt, number, streams, version))
        .collect()
}

struct Shared {
    id: String,
    /// Version of its software.
    version: String,
    log: Mutex<File>,
    leaving: AtomicBool,
    /// Whether long requests are rejected before they are in.
    early: AtomicBool,
    running: AtomicUsize,
    waiting: AtomicUsize,
}

impl Shared {
    fn log(&self, text: &str) {
        let mut log = self.log.lock().expect("log");
        // One write a line: the servers of a case share the file.
        let line = format!("{} {} {text}\n", wall_ms(), self.id);
        let _ = log.write_all(line.as_bytes());
    }
}

/// Runs a server until it is killed or its standard input ends.
pub fn run(address: SocketAddr, id: &str, log: &str, version: &str) {
    let listener = TcpListener::bind(address).expect("the server's address");
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let shared = Arc::new(Shared {
        id: id.to_string(),
        version: version.to_string(),
        log: Mutex::new(log),
        leaving: AtomicBool::new(false),
        early: AtomicBool::new(false),
        running: AtomicUsize::new(0),
        waiting: AtomicUsize::new(0),
    });
    shared.log("START");
    let control = shared.clone();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines() {
            match line.as_deref() {
                Ok("leave") => control.leaving.store(true, Ordering::SeqCst),
                Ok("early") => control.early.store(true, Ordering::SeqCst),
                _ => {}
            }
            control.log(&format!("TOLD {}", line.unwrap_or_default()));
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        std::thread::spawn(move || {
            let _ = serve(&shared, stream);
        });
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream);
    while let Some(head) = read_head(&mut input)? {
        let length = head
            .get("content-length")
            .and_then(|n| n.parse::<usize>().ok());
        if length.is_some_and(|n| n > LONG) && shared.early.load(Ordering::SeqCst) {
            reject_early(shared, &head, length.unwrap_or(0), &mut input)?;
            continue;
        }
        let body = read_body(&mut input, &head)?;
        if !answer(shared, &head, body.len(), input.get_mut())? {
            return Ok(());
        }
    }
    Ok(())
}

/// Rejects a request before its body is in, keeps the channel and reads the body later.
fn reject_early(
    shared: &Shared,
    head: &Head,
    length: usize,
    input: &mut BufReader<TcpStream>,
) -> io::Result<()> {
    let attempt = head.get("attempt-id").unwrap_or("").to_string();
    shared.log(&format!(
        "REJECTS {attempt} {} before its {length} bytes are in",
        head.first
    ));
    write!(
        input.get_mut(),
        "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
        shared.id
    )?;
    let mut left = length;
    let mut part = vec![0; LATER_BYTES];
    while left > 0 {
        std::thread::sleep(LATER_PAUSE);
        let size = left.min(part.len());
        input.read_exact(&mut part[..size])?;
        left -= size;
    }
    shared.log(&format!("READ {attempt} to its end"));
    Ok(())
}

/// Answers a request. Returns whether the channel is kept.
fn answer(shared: &Shared, head: &Head, bytes: usize, out: &mut TcpStream) -> io::Result<bool> {
    let attempt = head.get("attempt-id").unwrap_or("").to_string();
    let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
    let leaving = shared.leaving.load(Ordering::SeqCst);
    let mut extra = format!("Instance-Id: {}\r\n", shared.id);
    if leaving {
        extra += "Server-Leaving: 1\r\n";
    }
    if path == "/healthz" {
        let status = if leaving { "503 Leaving" } else { "200 OK" };
        write!(out, "HTTP/1.1 {status}\r\n{extra}Content-Length: 0\r\n\r\n")?;
        return Ok(true);
    }
    if head
        .get("expect-instance")
        .is_some_and(|id| id != shared.id)
    {
        write!(
            out,
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n{extra}Content-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    if shared.waiting.load(Ordering::SeqCst) >= QUEUE {
        write!(
            out,
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\n{extra}Content-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    shared.waiting.fetch_add(1, Ordering::SeqCst);
    while shared.running.load(Ordering::SeqCst) >= SLOTS {
        std::thread::sleep(Duration::from_millis(2));
    }
    shared.waiting.fetch_sub(1, Ordering::SeqCst);
    shared.running.fetch_add(1, Ordering::SeqCst);
    shared.log(&format!(
        "RUN {attempt} {} {} body={bytes}",
        head.first,
        head.get("tenant").unwrap_or("-")
    ));
    let done = work(shared, head, &attempt, path, query, out);
    shared.running.fetch_sub(1, Ordering::SeqCst);
    match &done {
        Ok(_) => shared.log(&format!("END {attempt} whole")),
        Err(error) => shared.log(&format!("END {attempt} {error}")),
    }
    done
}

fn work(
    shared: &Shared,
    head: &Head,
    attempt: &str,
    path: &str,
    query: &str,
    out: &mut TcpStream,
) -> io::Result<bool> {
    let query: BTreeMap<&str, &str> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let number = |name: &str, usual: u64| {
        query
            .get(name)
            .and_then(|n| n.parse().ok())
            .unwrap_or(usual)
    };
    let streams = path.starts_with("/chat/") || path.starts_with("/talk/");
    let framing =
        query
            .get("framing")
            .copied()
            .unwrap_or(if streams { "chunks" } else { "length" });
    let parts = number("parts", 4) as usize;
    let pause = Duration::from_millis(number("pause", 0));
    let first = head
        .get("last-event-id")
        .and_then(|n| n.parse::<usize>().ok())
        .map_or(1, |n| n + 1);
    rest(out, Duration::from_millis(number("work", 20)))?;
    let kind = if streams {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let leaving = shared.leaving.load(Ordering::SeqCst);
    let says_leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
    let close = leaving || framing == "none";
    let mut start = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: {kind}\r\nInstance-Id: {}\r\n{says_leaving}",
        shared.id
    );
    if close {
        start += "Connection: close\r\n";
    }
    match framing {
        "length" => {
            start += &format!(
                "Content-Length: {}\r\n",
                whole(attempt, parts, streams, &shared.version).len()
            )
        }
        "chunks" => start += "Transfer-Encoding: chunked\r\n",
        _ => {}
    }
    start += "\r\n";
    out.write_all(start.as_bytes())?;
    for number in first..=parts {
        if number > first {
            rest(out, pause)?;
        }
        let text = part(attempt, number, streams, &shared.version);
        if framing == "chunks" {
            write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        } else {
            out.write_all(text.as_bytes())?;
        }
    }
    if framing == "chunks" {
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(!close)
}

/// Waits, unless the channel is closed meanwhile.
fn rest(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let end = Instant::now() + time;
    let mut byte = [0];
    while Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(Duration::from_millis(20)));
        stream.set_nonblocking(true)?;
        let seen = stream.peek(&mut byte);
        stream.set_nonblocking(false)?;
        match seen {
            Ok(0) => return Err(io::Error::other("the caller closed the channel")),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

pub fn wall_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

/// A server process.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    version: String,
    log: PathBuf,
    child: Child,
    control: ChildStdin,
    born: u128,
}

/// Starts a server process, and waits until it accepts connections.
fn spawn(id: &str, address: SocketAddr, log: &Path, version: &str) -> (Child, ChildStdin) {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(["server", &address.to_string(), id])
        .arg(log)
        .arg(version)
        .stdin(Stdio::piped())
        .spawn()
        .expect("a server");
    let control = child.stdin.take().expect("its input");
    let end = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_err() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
    (child, control)
}

impl Server {
    pub fn start(id: &str, address: SocketAddr, log: PathBuf) -> Server {
        let version = "v1".to_string();
        let (child, control) = spawn(id, address, &log, &version);
        Server {
            id: id.to_string(),
            address,
            version,
            log,
            child,
            control,
            born: wall_ms(),
        }
    }

    /// Starts the server again after it was killed, under its id and address, with this software.
    pub fn start_again(&mut self, version: &str) {
        self.version = version.to_string();
        (self.child, self.control) = spawn(&self.id, self.address, &self.log, version);
        self.born = wall_ms();
    }

    /// The row that the server writes.
    pub fn row(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"app","address":"{}","zone":"zapopan","version":"{}","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.address, self.version, self.born
        )
    }

    /// Makes the server say in its answers that it leaves.
    pub fn leave(&mut self) {
        let _ = self.control.write_all(b"leave\n");
    }

    /// Makes the server reject long requests before they are in.
    pub fn reject_early(&mut self) {
        let _ = self.control.write_all(b"early\n");
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}
