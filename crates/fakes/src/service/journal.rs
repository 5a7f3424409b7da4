//! Record of the calls that a service has executed.

use crate::control::JournalEntry;
use bytes::Bytes;
use sequoiaridge_http::Request;
use std::collections::BTreeMap;

/// Key, path and body of a call.
type Call = (String, String, Bytes);

/// Counts executed calls. It survives a crash, so that tests can check what was really executed.
#[derive(Debug, Default)]
pub(super) struct Journal {
    runs: BTreeMap<Call, u64>,
}

impl Journal {
    /// Counts one execution.
    pub(super) fn count(&mut self, request: &Request) {
        let key = request.header("idempotency-key").unwrap_or_default();
        let call = (key.to_string(), request.path.clone(), request.body.clone());
        *self.runs.entry(call).or_default() += 1;
    }

    /// Returns all calls with their counts.
    pub(super) fn entries(&self) -> Vec<JournalEntry> {
        let entry = |((key, path, body), runs): (&Call, &u64)| JournalEntry {
            key: key.clone(),
            path: path.clone(),
            body: String::from_utf8_lossy(body).into_owned(),
            runs: *runs,
        };
        self.runs.iter().map(entry).collect()
    }
}
