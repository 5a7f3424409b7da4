//! Stand-in of the platform's metadata store: rows in tables, transactions, reads and feeds.

use crate::http::{Head, read_body, read_head};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Row {
    /// Base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; its clones share the rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub address: SocketAddr,
    started: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Store {
            rows: Arc::default(),
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let value = value.map(|value| encode(value.as_bytes()));
        self.write(&[(table.to_string(), key.to_string(), value)]);
    }

    fn write(&self, entries: &[(String, String, Option<String>)]) -> u64 {
        let mut rows = self.rows.0.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        for (table, key, value) in entries {
            let row = Row {
                value: value.clone(),
                version,
            };
            rows.rows.insert((table.clone(), key.clone()), row);
        }
        self.rows.1.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut input) {
            let Ok(body) = read_body(&mut input, &head) else {
                return;
            };
            // The time that a call takes.
            std::thread::sleep(Duration::from_millis(3));
            let (status, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if input.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).map(String::as_str).unwrap_or("");
        match path {
            "/sequoiaridge/rows-get" => {
                self.get(text("table"), text("source"), text("to"), text("limit"))
            }
            "/sequoiaridge/rows-feed" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.feed(text("table"), after, Duration::from_millis(wait))
            }
            "/sequoiaridge/rows-tx" => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_string()),
        }
    }

    fn get(&self, table: &str, source: &str, to: &str, limit: &str) -> (u16, String) {
        let limit = limit.parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().expect("rows");
        let wanted = rows.rows.iter().filter(|((known, key), row)| {
            let in_range = key.as_str() >= source && (to.is_empty() || key.as_str() < to);
            known == table && row.value.is_some() && in_range
        });
        let mut found: Vec<String> = wanted
            .take(limit + 1)
            .map(|(key, row)| json(key, row))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (200, self.page(&found, has_more, rows.version))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut rows = self.rows.0.lock().expect("rows");
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|((known, _), row)| known == table && row.version > after)
                .collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed: Vec<String> = changed
                    .into_iter()
                    .map(|(key, row)| json(key, row))
                    .collect();
                return (200, self.page(&changed, false, rows.version));
            }
            rows = self.rows.1.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn page(&self, rows: &[String], has_more: bool, version: u64) -> String {
        format!(
            r#"{{"rows":[{}],"has_more":{has_more},"row_version":{version},"now_ms":{}}}"#,
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    /// Applies a transaction as routers write it: flat objects, without escapes in their texts.
    fn transact(&self, body: &str) -> (u16, String) {
        let part = |name: &str| {
            let start = body.find(&format!("\"{name}\":["))? + name.len() + 4;
            let end = body[start..].find(']')? + start;
            Some(&body[start..end])
        };
        let objects = |text: &str| -> Vec<String> {
            text.split('}')
                .filter(|o| o.contains('{'))
                .map(str::to_string)
                .collect()
        };
        let guard = objects(part("precondition").unwrap_or(""));
        let writes = objects(part("write").unwrap_or(""));
        {
            let rows = self.rows.0.lock().expect("rows");
            for object in &guard {
                let key = (text_of(object, "table"), text_of(object, "key"));
                let known = rows.rows.get(&key).filter(|row| row.value.is_some());
                let version = known.map_or(0, |row| row.version);
                if version != number_of(object, "row_version") {
                    let found: Vec<String> = known.map(|row| json(&key, row)).into_iter().collect();
                    return (412, self.page(&found, false, rows.version));
                }
            }
        }
        let entries: Vec<_> = writes
            .iter()
            .map(|o| {
                (
                    text_of(o, "table"),
                    text_of(o, "key"),
                    Some(text_of(o, "value")),
                )
            })
            .collect();
        let version = self.write(&entries);
        (
            200,
            format!(
                r#"{{"row_version":{version},"now_ms":{}}}"#,
                self.started.elapsed().as_millis()
            ),
        )
    }
}

fn json((table, key): &(String, String), row: &Row) -> String {
    let version = row.version;
    match &row.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","row_version":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","row_version":{version},"deleted":true}}"#
        ),
    }
}

fn text_of(object: &str, name: &str) -> String {
    let mark = format!("\"{name}\":\"");
    let start = object.find(&mark).map(|at| at + mark.len());
    let found = start.and_then(|start| Some(&object[start..start + object[start..].find('"')?]));
    found.unwrap_or("").to_string()
}

fn number_of(object: &str, name: &str) -> u64 {
    let mark = format!("\"{name}\":");
    let start = object.find(&mark).map(|at| at + mark.len());
    let digits = start.map(|start| object[start..].chars().take_while(char::is_ascii_digit));
    digits
        .and_then(|digits| digits.collect::<String>().parse().ok())
        .unwrap_or(0)
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let code = std::str::from_utf8(&digits).ok();
            bytes.push(
                code.and_then(|c| u8::from_str_radix(c, 16).ok())
                    .unwrap_or(b'%'),
            );
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = (0..3).fold(0u32, |value, i| {
            value << 8 | u32::from(group.get(i).copied().unwrap_or(0))
        });
        for i in 0..4 {
            if i <= group.len() {
                text.push(char::from(DIGITS[(value >> (18 - 6 * i)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
