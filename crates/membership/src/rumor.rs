//! Queue of the updates and crash notices that are disseminated by gossip.

use crate::{CrashNotice, Update};
use sequoiaridge_core::RouterId;
use std::collections::BTreeMap;

/// Maximum number of queued rumors. The oldest are evicted first. A mass failure of 370 routers
/// with as many crash notices fits.
const MAX_RUMORS: usize = 1024;

/// Subject of a rumor. A new rumor replaces an older one about the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(RouterId),
    Crash(CrashNotice),
}

#[derive(Debug)]
struct Rumor {
    subject: Subject,
    /// The update, if the subject is a member.
    update: Option<Update>,
    sent: u32,
}

/// Rumors, sent newest first and each a limited number of times.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    /// Rumors by order of arrival.
    rumors: BTreeMap<u64, Rumor>,
    index: BTreeMap<Subject, u64>,
    arrivals: u64,
}

/// Number of times that each rumor is sent in a fleet of `members` routers.
fn sends(members: usize) -> u32 {
    (3.0 * (members as f64 + 1.0).log2()).ceil() as u32
}

impl RumorQueue {
    /// Adds an update about a member.
    pub(crate) fn push(&mut self, update: Update) {
        self.add(Subject::Member(update.id().clone()), Some(update));
    }

    /// Adds a crash notice.
    pub(crate) fn push_crash(&mut self, notice: CrashNotice) {
        self.add(Subject::Crash(notice), None);
    }

    fn add(&mut self, subject: Subject, update: Option<Update>) {
        self.arrivals += 1;
        if let Some(arrival) = self.index.insert(subject.clone(), self.arrivals) {
            self.rumors.remove(&arrival);
        }
        let sent = 0;
        let rumor = Rumor {
            subject,
            update,
            sent,
        };
        self.rumors.insert(self.arrivals, rumor);
        if self.rumors.len() > MAX_RUMORS
            && let Some((_, oldest)) = self.rumors.pop_first()
        {
            self.index.remove(&oldest.subject);
        }
    }

    /// Passes rumors to `offer`, newest first, until it returns that it did not take one. Rumors
    /// that were taken often enough for a fleet of `members` routers are dropped.
    pub(crate) fn offer(
        &mut self,
        members: usize,
        mut offer: impl FnMut(Result<&Update, &CrashNotice>) -> bool,
    ) {
        let limit = sends(members);
        let mut done = Vec::new();
        for (arrival, rumor) in self.rumors.iter_mut().rev() {
            let taken = match (&rumor.subject, &rumor.update) {
                (_, Some(update)) => offer(Ok(update)),
                (Subject::Crash(notice), None) => offer(Err(notice)),
                (Subject::Member(_), None) => true,
            };
            if !taken {
                break;
            }
            rumor.sent += 1;
            if rumor.sent >= limit {
                done.push(*arrival);
            }
        }
        for arrival in done {
            if let Some(rumor) = self.rumors.remove(&arrival) {
                self.index.remove(&rumor.subject);
            }
        }
    }
}
