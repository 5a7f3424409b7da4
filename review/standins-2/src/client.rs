//! Clients that send one request on a new connection and read its answer.

use crate::http::{read_chunk, read_head};
use crate::site::{HOST, KEY};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Id of the attempt.
    pub attempt: String,
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// What the server has to do, for its header `Work`.
    pub work: String,
    /// Time for which the client waits.
    pub wait: Duration,
    /// Bytes of the answer that the client reads in a second; `None` if it reads as fast as it can.
    pub rate: Option<usize>,
}

/// The answer that a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// The server's seal; empty if there is none.
    pub seal: String,
    /// The body as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub complete: bool,
    /// Time from the request to the end of the answer.
    pub time: Duration,
}

impl Answer {
    /// Number of events in the body.
    pub fn events(&self) -> usize {
        let ends = self.body.windows(2).filter(|pair| *pair == b"\n\n");
        ends.count()
    }
}

/// Sends a request and reads its answer.
pub fn ask(router: SocketAddr, ask: &Ask) -> Answer {
    match TcpStream::connect(router) {
        Ok(stream) => ask_on(stream, ask),
        Err(_) => Answer::default(),
    }
}

/// Does the same on an open connection.
pub fn ask_on(stream: TcpStream, ask: &Ask) -> Answer {
    let start = Instant::now();
    let mut answer = Answer::default();
    let _ = read_answer(stream, ask, start + ask.wait, &mut answer);
    answer.time = start.elapsed();
    answer
}

/// Waits for as long as a client that reads slowly takes for some bytes.
fn pause(ask: &Ask, size: usize) {
    if let Some(rate) = ask.rate {
        std::thread::sleep(Duration::from_secs_f64(size as f64 / rate as f64));
    }
}

fn read_answer(
    mut stream: TcpStream,
    ask: &Ask,
    end: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nX-Api-Key: {KEY}\r\nDeadline-Ms: {}\r\nWork: {}\r\nContent-Length: 0\r\n\r\n",
        ask.method,
        ask.path,
        ask.attempt,
        ask.wait.as_millis(),
        ask.work
    );
    stream.write_all(request.as_bytes())?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = BufReader::with_capacity(1024, stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    answer.status = head.status();
    answer.seal = head.header("response-seal").to_string();
    if head.header("transfer-encoding").contains("chunked") {
        loop {
            match read_chunk(&mut reader)? {
                Some(chunk) => {
                    pause(ask, chunk.len());
                    answer.body.extend(chunk);
                }
                None => {
                    answer.complete = true;
                    return Ok(());
                }
            }
        }
    }
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    let mut buffer = [0; 1024];
    while answer.body.len() < length && Instant::now() < end {
        let size = reader.read(&mut buffer)?;
        if size == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&buffer[..size]);
        pause(ask, size);
    }
    answer.complete = answer.body.len() == length;
    Ok(())
}
