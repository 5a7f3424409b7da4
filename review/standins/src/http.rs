//! The part of HTTP/1.1 that the stand-ins speak.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or an answer, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel ends before its first byte.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            if head.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            head.headers.push((name, value.trim().to_string()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(input: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        return read_chunks(input);
    }
    let length = head.get("content-length").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_chunks_into(input, &mut body)?;
    Ok(body)
}

fn read_chunks_into(input: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size > 0 {
            let mut data = input.by_ref().take(size as u64);
            data.read_to_end(body)?;
        }
        let mut end = String::new();
        if input.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the framing says that the answer is complete.
    pub complete: bool,
    /// What ended an answer that is not complete.
    pub error: String,
    pub elapsed: Duration,
}

impl Answer {
    pub fn sealed(&self) -> bool {
        self.head.get("response-seal").is_some()
    }

    pub fn describe(&self) -> String {
        format!(
            "status={} complete={} sealed={} bytes={} elapsed_ms={} error={:?}",
            self.status,
            self.complete,
            self.sealed(),
            self.body.len(),
            self.elapsed.as_millis(),
            self.error
        )
    }
}

/// A client's channel.
pub struct Channel {
    input: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel {
            input: BufReader::new(stream),
        })
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        self.input.get_mut()
    }

    /// Sends a whole request and reads its answer within `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> Answer {
        let sent = Instant::now();
        if let Err(error) = self.stream().write_all(request) {
            return Answer {
                error: format!("not written: {error}"),
                ..Answer::default()
            };
        }
        self.answer(sent, limit)
    }

    /// Reads the answer to a request that was sent at `sent`.
    pub fn answer(&mut self, sent: Instant, limit: Duration) -> Answer {
        let mut answer = Answer::default();
        let read = self.read_answer(&mut answer, sent + limit);
        answer.elapsed = sent.elapsed();
        match read {
            Ok(()) => answer.complete = true,
            Err(error) => answer.error = error.to_string(),
        }
        answer
    }

    fn read_answer(&mut self, answer: &mut Answer, end: Instant) -> io::Result<()> {
        let input = &mut self.input;
        let left = end.saturating_duration_since(Instant::now());
        let stream = input.get_ref();
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let eof = || io::Error::new(io::ErrorKind::UnexpectedEof, "the channel ended");
        answer.head = read_head(input)?.ok_or_else(eof)?;
        answer.status = answer.head.status();
        if answer.head.get("transfer-encoding").is_some() {
            return read_chunks_into(input, &mut answer.body);
        }
        let length = answer.head.get("content-length");
        let Some(length) = length.and_then(|n| n.parse::<u64>().ok()) else {
            return input.read_to_end(&mut answer.body).map(|_| ());
        };
        input.by_ref().take(length).read_to_end(&mut answer.body)?;
        if (answer.body.len() as u64) < length {
            return Err(eof());
        }
        Ok(())
    }
}
