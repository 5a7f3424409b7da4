//! Until when the answer on a caller's connection ends.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after the end of an answer's time in which its caller may read what tells it so.
const SLACK: Duration = Duration::from_millis(250);

/// When the answer that a connection carries is due; there is none between answers.
#[derive(Clone, Debug)]
pub(crate) struct Due(watch::Sender<Option<Instant>>);

impl Default for Due {
    fn default() -> Due {
        Due(watch::Sender::new(None))
    }
}

impl Due {
    /// Sets when the answer is due, or that there is none.
    pub(crate) fn set(&self, due: Option<Instant>) {
        self.0.send_replace(due);
    }

    /// Ends once an answer is overdue.
    pub(crate) async fn overdue(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let due = *changes.borrow_and_update();
            let Some(due) = due else {
                // The sender is this value's own, so there is always another change.
                let _ = changes.changed().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(due + SLACK) => return,
                _ = changes.changed() => {}
            }
        }
    }
}
