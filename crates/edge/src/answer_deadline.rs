//! Deadline of the answer on a caller's connection.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after the deadline in which the caller may still read what tells it that the answer has
/// ended.
const CLOSE_GRACE: Duration = Duration::from_millis(250);

/// Deadline of the answer that a connection carries; `None` between answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerDeadline(watch::Sender<Option<Instant>>);

impl Default for AnswerDeadline {
    fn default() -> AnswerDeadline {
        AnswerDeadline(watch::Sender::new(None))
    }
}

impl AnswerDeadline {
    /// Sets the deadline of the answer, or that there is no answer.
    pub(crate) fn set(&self, deadline: Option<Instant>) {
        self.0.send_replace(deadline);
    }

    /// Completes once an answer is overdue.
    pub(crate) async fn overdue(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let deadline = *changes.borrow_and_update();
            let Some(deadline) = deadline else {
                // This value owns the sender, so the wait ends only with the next change.
                let _ = changes.changed().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(deadline + CLOSE_GRACE) => return,
                _ = changes.changed() => {}
            }
        }
    }
}
