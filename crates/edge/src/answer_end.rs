//! Whether an answer that ended with its connection is whole.
//!
//! Such an answer has no end of its own. An endpoint that crashes closes its connections in order,
//! and so does one that ends as planned after its last answer. See "Streams that break off" in
//! docs/platform.md.

use std::time::Duration;

/// What is known of an endpoint when an answer has ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// Whether the endpoint refuses connections, because its process has ended.
    pub refuses: bool,
    /// Upper bound of the time since the endpoint started to leave; `None` if it is not known to
    /// leave.
    pub left_for: Option<Duration>,
    /// Shortest time for which a leaving endpoint goes on serving.
    pub drain_time: Duration,
    /// Whether other runs at the endpoint were lost at about the same moment or are still
    /// outstanding. An endpoint that ends as planned ends after its last answer.
    pub others_lost: bool,
    /// Whether the endpoint is known to have crashed.
    pub crashed: bool,
}

/// What the end of an answer's connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is whole.
    Whole,
    /// The endpoint crashed, perhaps within the answer.
    Broken,
    /// The endpoint has most likely ended as planned, but may have crashed.
    Unknown,
}

impl AnswerEnd {
    /// All ends.
    pub const ALL: [AnswerEnd; 3] = [AnswerEnd::Whole, AnswerEnd::Broken, AnswerEnd::Unknown];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerEnd::Whole => "whole",
            AnswerEnd::Broken => "broken",
            AnswerEnd::Unknown => "unknown",
        }
    }
}

impl EndEvidence {
    /// What the evidence shows.
    pub fn answer_end(&self) -> AnswerEnd {
        let may_be_planned = self.left_for.is_some_and(|time| time >= self.drain_time);
        if !self.refuses {
            AnswerEnd::Whole
        } else if may_be_planned && !self.others_lost && !self.crashed {
            AnswerEnd::Unknown
        } else {
            AnswerEnd::Broken
        }
    }
}
