//! Validation of server-sent events of an engine's answer.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Last event of a whole answer.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// Largest event in bytes; an engine that sends a longer one is at fault.
const MAX_EVENT: usize = 1024 * 1024;

/// What one more chunk of an answer amounted to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Complete events that may be passed on; possibly none.
    Events(Bytes),
    /// The rest of the events, up to and including the last of the answer.
    Done(Bytes),
    /// The answer is not valid for this request.
    Invalid,
}

/// Splits an answer into events, and counts and checks them.
///
/// Only complete events are passed on, so that a resumed stream continues at an event and a broken
/// one never ends within an event. All events of an answer carry the same `id`; an event of another
/// answer is found by it.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    pending: BytesMut,
    answer: Option<String>,
    events: u64,
    usage: Option<Usage>,
}

/// Token counts that an engine reports at the end of an answer, in OpenAI's format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl Usage {
    /// Prompt tokens that the engine had cached.
    pub(crate) fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.unwrap_or_default().cached_tokens
    }
}

/// The fields of an event, or of a whole answer, that the router reads.
#[derive(Deserialize)]
pub(crate) struct AnswerFields {
    pub(crate) id: String,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
}

impl EventReader {
    /// Number of events passed on so far, which is the offset at which to resume.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Token counts, once the engine has reported them.
    pub(crate) fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Drops an incomplete event, before a resumed stream is read.
    pub(crate) fn restart(&mut self) {
        self.pending.clear();
    }

    /// Adds a chunk.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Progress {
        self.pending.extend_from_slice(chunk);
        let mut passed = BytesMut::new();
        while let Some(end) = find_end(&self.pending) {
            let event = self.pending.split_to(end);
            passed.extend_from_slice(&event);
            if event.as_ref() == DONE {
                return Progress::Done(passed.freeze());
            }
            if !self.belongs(&event) {
                return Progress::Invalid;
            }
            self.events += 1;
        }
        if self.pending.len() > MAX_EVENT {
            return Progress::Invalid;
        }
        Progress::Events(passed.freeze())
    }

    fn belongs(&mut self, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return event.starts_with(b":");
        };
        let Ok(event) = serde_json::from_slice::<AnswerFields>(data) else {
            return false;
        };
        self.usage = event.usage.or(self.usage);
        let answer = self.answer.get_or_insert_with(|| event.id.clone());
        *answer == event.id
    }
}

/// Position after the blank line that ends the first event.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}
