//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Result};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    /// The body, if it has a length.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_string();
            message.headers.push((name.to_ascii_lowercase(), value));
        }
    }
}

/// Reads a request with its body, which has a length or chunks.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    if request.header("transfer-encoding").contains("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            request.body.extend(chunk);
        }
    } else {
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Reads one chunk; `None` for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let broken = || std::io::Error::other("the connection ended within a chunked body");
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}
