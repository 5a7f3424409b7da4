//! Stand-in of the platform's store: rows in memory, pages, feeds and transactions.

use crate::http::{Message, read_request};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Version and value of a row in base64; a removed row has no value.
type StoredRow = (u64, Option<String>);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), StoredRow>,
}

/// A store that all threads share.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> (Store, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let store = Store::default();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a row, as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode_base64(value.as_bytes())));
    }

    /// Removes a row, as a server that has left does.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.version += 1;
        let version = state.version;
        let key = (table.to_string(), key.to_string());
        state.rows.insert(key, (version, value));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let fields: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |name: &str| fields.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/sequoiaridge/rows-get" => (200, self.page(text("table"), text("source"), text("to"))),
            "/sequoiaridge/rows-feed" => {
                let wait = Duration::from_millis(number("wait_ms"));
                (200, self.feed(text("table"), number("after"), wait))
            }
            "/sequoiaridge/rows-tx" => self.transaction(&String::from_utf8_lossy(&request.body)),
            _ => (404, String::new()),
        }
    }

    fn page(&self, table: &str, source: &str, to: &str) -> String {
        let source = source.replace("%00", "\0");
        let to = to.replace("%00", "\0");
        let state = self.state.0.lock().expect("the state");
        let rows = state.rows.iter().filter(|((name, key), (_, value))| {
            name == table && *key >= source && (to.is_empty() || *key < to) && value.is_some()
        });
        let rows: Vec<String> = rows
            .map(|((_, key), row)| row_json(table, key, row))
            .collect();
        answer_json(&rows, state.version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        loop {
            let rows = state.rows.iter();
            let mut rows: Vec<(&String, &StoredRow)> = rows
                .filter(|((name, _), (version, _))| name == table && *version > after)
                .map(|((_, key), row)| (key, row))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows: Vec<String> = rows
                    .into_iter()
                    .map(|(key, row)| row_json(table, key, row))
                    .collect();
                return answer_json(&rows, state.version);
            }
            state = changed.wait_timeout(state, left).expect("the state").0;
        }
    }

    /// Applies a transaction of the routers. It knows the one precondition that they use: that the
    /// row of the fleet's key does not exist.
    fn transaction(&self, body: &str) -> (u16, String) {
        let (precondition, write) = body.split_once("\"write\":").unwrap_or(("", body));
        for row in objects(precondition) {
            let key = (field(&row, "table"), field(&row, "key"));
            let state = self.state.0.lock().expect("the state");
            let found = state.rows.get(&key);
            if found.is_some_and(|(_, value)| value.is_some()) {
                return (412, "{\"rows\":[]}".to_string());
            }
        }
        for row in objects(write) {
            let value = Some(field(&row, "value"));
            self.write(&field(&row, "table"), &field(&row, "key"), value);
        }
        (200, "{\"row_version\":1,\"now_ms\":0}".to_string())
    }
}

/// The flat objects in a text. Rows hold no braces: their values are in base64.
fn objects(text: &str) -> Vec<String> {
    let parts = text.split('{').filter_map(|part| part.split_once('}'));
    parts.map(|(object, _)| object.to_string()).collect()
}

/// A text field of a flat object.
fn field(object: &str, name: &str) -> String {
    let after = object.split_once(&format!("\"{name}\":\""));
    let value = after.and_then(|(_, rest)| rest.split_once('"'));
    value.map_or_else(String::new, |(value, _)| value.to_string())
}

fn row_json(table: &str, key: &str, (version, value): &StoredRow) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"row_version\":{version}}}"
    )
}

fn answer_json(rows: &[String], version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":0}}")
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
