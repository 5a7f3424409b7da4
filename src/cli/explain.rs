//! The command `sequoiaridge explain`.

use super::{exit, failed};
use serde::Deserialize;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// The parts of a log line that this command uses.
#[derive(Deserialize)]
struct Line {
    timestamp: String,
    fields: Fields,
}

#[derive(Deserialize)]
struct Fields {
    message: String,
    name: String,
    #[serde(default)]
    request: String,
}

/// Prints the lines about one request in order of time.
pub(crate) fn explain(log: Option<&Path>, id: &str) -> u8 {
    let lines = match log {
        None => read_matching(io::stdin().lock(), id),
        Some(path) => File::open(path).and_then(|file| read_matching(BufReader::new(file), id)),
    };
    let mut lines = match lines {
        Ok(lines) => lines,
        Err(error) => return failed(&format!("cannot read the log: {error}")),
    };
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    for line in &lines {
        println!(
            "{} {:<18} {}",
            line.timestamp, line.fields.name, line.fields.message
        );
    }
    if lines.is_empty() {
        return failed(&format!("the log has no line about request {id}"));
    }
    exit::OK
}

/// Returns the lines about a request. Text before the first brace of a line, such as a prefix that
/// a log collector adds, is ignored, as are lines in other formats.
fn read_matching(log: impl BufRead, id: &str) -> io::Result<Vec<Line>> {
    let mut found = Vec::new();
    for text in log.lines() {
        let text = text?;
        let Some(start) = text.find('{').filter(|_| text.contains(id)) else {
            continue;
        };
        if let Ok(line) = serde_json::from_str::<Line>(&text[start..])
            && line.fields.request == id
        {
            found.push(line);
        }
    }
    Ok(found)
}
