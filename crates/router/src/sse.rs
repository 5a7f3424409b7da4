//! Validation of the server-sent events in an engine's response.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Last event of a complete response.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Maximum size of an event in bytes. A longer event makes the response invalid.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Result of reading one more chunk of a response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Complete events that may be forwarded; possibly none.
    Events(Bytes),
    /// The rest of the events, up to and including the last one of the response.
    Done(Bytes),
    /// The response is not valid for the request.
    Invalid,
}

/// Splits a response into events, and counts and checks them.
///
/// Only complete events are forwarded, so that a resumed stream continues at the start of an event
/// and a broken one never ends within an event. All events of a response carry the same `id`, by
/// which an event of another response is detected.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    partial: BytesMut,
    /// The `id` that all events of the response carry.
    response_id: Option<String>,
    events: u64,
    usage: Option<Usage>,
}

/// Token counts that an engine reports at the end of a response, in OpenAI's format.
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
    /// Returns the number of prompt tokens that the engine had cached.
    pub(crate) fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.unwrap_or_default().cached_tokens
    }
}

/// The fields of an event, or of a whole response, that the router reads.
#[derive(Deserialize)]
pub(crate) struct ResponseFields {
    pub(crate) id: String,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
}

impl EventReader {
    /// Returns the number of events read so far: the offset at which a stream resumes.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the token counts, once the engine has reported them.
    pub(crate) fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Discards an incomplete event. Called before a resumed stream is read.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Reads a chunk.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Progress {
        self.partial.extend_from_slice(chunk);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            complete.extend_from_slice(&event);
            if event.as_ref() == DONE_EVENT {
                return Progress::Done(complete.freeze());
            }
            if !self.check_event(&event) {
                return Progress::Invalid;
            }
            self.events += 1;
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Progress::Invalid;
        }
        Progress::Events(complete.freeze())
    }

    /// Records the token counts in an event. Returns `false` unless the event is a comment or valid
    /// data of this response.
    fn check_event(&mut self, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return event.starts_with(b":");
        };
        let Ok(event) = serde_json::from_slice::<ResponseFields>(data) else {
            return false;
        };
        self.usage = event.usage.or(self.usage);
        let known = self.response_id.get_or_insert_with(|| event.id.clone());
        *known == event.id
    }
}

/// Returns the position after the blank line that ends the first event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}
