//! Updates and crash notices that still have to be spread.

use crate::{CrashNotice, Update};
use sequoiaridge_core::RouterId;
use std::collections::BTreeMap;

/// Rumors that wait at the same time. The oldest give way first; a mass failure of 370 routers
/// with as many crash notices fits.
const MAX_RUMORS: usize = 1024;

/// What a rumor is about; a new rumor replaces an older one about the same thing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(RouterId),
    Crash(CrashNotice),
}

#[derive(Debug)]
struct Rumor {
    subject: Subject,
    /// The statement, for members.
    update: Option<Update>,
    sent: u32,
}

/// Rumors by age, each sent a limited number of times, newest first.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    /// By order of arrival.
    rumors: BTreeMap<u64, Rumor>,
    places: BTreeMap<Subject, u64>,
    arrivals: u64,
}

/// Times that each rumor is sent in a fleet of `members` routers.
fn sends(members: usize) -> u32 {
    (3.0 * (members as f64 + 1.0).log2()).ceil() as u32
}

impl RumorQueue {
    /// Adds a statement about a member.
    pub(crate) fn tell(&mut self, update: Update) {
        self.add(Subject::Member(update.id().clone()), Some(update));
    }

    /// Adds a crash notice.
    pub(crate) fn tell_crash(&mut self, notice: CrashNotice) {
        self.add(Subject::Crash(notice), None);
    }

    fn add(&mut self, subject: Subject, update: Option<Update>) {
        self.arrivals += 1;
        if let Some(place) = self.places.insert(subject.clone(), self.arrivals) {
            self.rumors.remove(&place);
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
            self.places.remove(&oldest.subject);
        }
    }

    /// Passes rumors to `offer`, newest first, which returns whether it took them. Each rumor that
    /// was taken often enough for a fleet of `members` routers is dropped.
    pub(crate) fn offer(
        &mut self,
        members: usize,
        mut offer: impl FnMut(Result<&Update, &CrashNotice>) -> bool,
    ) {
        let limit = sends(members);
        let mut done = Vec::new();
        for (place, rumor) in self.rumors.iter_mut().rev() {
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
                done.push(*place);
            }
        }
        for place in done {
            if let Some(rumor) = self.rumors.remove(&place) {
                self.places.remove(&rumor.subject);
            }
        }
    }
}
