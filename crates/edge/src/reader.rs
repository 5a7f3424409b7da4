//! Reads configuration and endpoints from the registry, mostly once for the whole fleet.
//!
//! A router reads a table when its news of it are too old, or when it lacks a change that no other router
//! gives it. docs/platform.md has the bounds.

use crate::follower::Follower;
use crate::handover;
use crate::registry::{Position, Registry, RegistryError, Rows, Table};
use crate::schedule::{CONFIG_WAIT, Schedule, jittered, retry_delay, takeover_delay};
use crate::shared::Shared;
use crate::sync::{take_configuration, take_endpoints};
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Least time between two reads that a missing version causes, as a part of the bound on applying a
/// configuration: versions that come in quick succession are read together, and a read that fails can
/// be made again in time.
const HINT_PART: f64 = 0.35;
/// Pause between two questions for a configuration; drawn between half and the whole.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the rows of the other routers before a router that starts reads the tables itself.
const JOIN_WAIT: Duration = Duration::from_millis(100);
/// The same at the first start of the fleet, when no caller waits.
const FIRST_JOIN_WAIT: Duration = Duration::from_millis(2000);

/// Endpoints up to which each router that starts reads the list itself, in one call: a whole page.
/// Routers that wait for others after a power cut of all refuse requests in the meantime.
const SHORT_LIST: usize = 500;

/// Reader of one table.
struct Reader {
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    table: Table,
    /// When a missing version last caused a read.
    last_hint: Option<Duration>,
    /// Pages of a whole table that is being read.
    pages: Option<Rows>,
    /// Whether the other routers were asked for a table with more than one page.
    asked: bool,
    /// Whether the history from the own position is gone.
    lost: bool,
}

/// Follows configuration and endpoints until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let first_start = shared.settings.first_start;
    let longest = if first_start {
        FIRST_JOIN_WAIT
    } else {
        JOIN_WAIT
    };
    shared.wait_joined(longest).await;
    handover::start(&shared).await;
    for table in [Table::Configuration, Table::Endpoints] {
        tokio::spawn(follow(shared.clone(), registry.clone(), table));
    }
}

async fn follow(shared: Arc<Shared>, registry: Arc<dyn Registry>, table: Table) {
    let mut reader = Reader {
        shared,
        registry,
        table,
        last_hint: None,
        pages: None,
        asked: false,
        lost: false,
    };
    loop {
        reader.wait_until_due().await;
        reader.read().await;
    }
}

impl Reader {
    /// Waits until the news of the table are too old, or a change is missing for too long.
    async fn wait_until_due(&mut self) {
        let shared = self.shared.clone();
        let hints = shared.hints(self.table);
        loop {
            let (due, missing) = self.due();
            let now = self.shared.now();
            if now >= due {
                if missing {
                    self.last_hint = Some(now);
                }
                return;
            }
            if missing && self.table == Table::Configuration && handover::update(&shared).await {
                continue;
            }
            let pause = if missing {
                jittered(ASK_PAUSE)
            } else {
                due - now
            };
            tokio::select! {
                () = tokio::time::sleep(pause.min(due - now)) => {}
                () = hints.notified(), if !missing => {}
            }
        }
    }

    /// When this router reads the table unless news come before, and whether a change is missing.
    fn due(&self) -> (Duration, bool) {
        let settings = &self.shared.settings;
        let schedule = Schedule {
            leave_bound: settings.leave_bound,
            apply_bound: settings.apply_bound,
        };
        let mut board = self.shared.board();
        let place = board.reader_rank(settings);
        let follower = board.follower(self.table);
        let missing = follower.missing_since().is_some();
        let period = schedule.period(self.table, follower.leads());
        let patience = schedule.gap_timeout(self.table, place, &settings.id);
        if self.lost {
            return (follower.not_before(), false);
        }
        let mut due = follower.due(period, takeover_delay(place, &settings.id), patience);
        if missing && let Some(last) = self.last_hint {
            due = due.max(last + settings.apply_bound.mul_f64(HINT_PART));
        }
        (due, missing)
    }

    async fn read(&mut self) {
        let (from, leads) = {
            let mut board = self.shared.board();
            let follower = board.follower(self.table);
            let leads = follower.leads() && follower.missing_since().is_none();
            (follower.read_from(), leads)
        };
        let sent = self.shared.now();
        let from = from.filter(|_| !self.lost);
        match (self.table, from) {
            (Table::Configuration, Some(_)) => {
                let position = self.shared.board().config_position;
                // A router that takes the reading over tells the others at once, before they do, too.
                let wait = if leads { CONFIG_WAIT } else { Duration::ZERO };
                self.read_configuration(position, wait, sent).await;
            }
            (_, from) => {
                let read = match from {
                    Some(from) => {
                        let changes = self.registry.changes(self.table, from, Duration::ZERO);
                        changes.await.map(Some)
                    }
                    None => self.read_whole().await,
                };
                match read {
                    Ok(Some(rows)) => self.answered(rows, from, sent, sent),
                    Ok(None) => {}
                    Err(error) => self.failed(error, from),
                }
            }
        }
    }

    /// Waits for a change of the configuration.
    async fn read_configuration(&mut self, position: Position, wait: Duration, sent: Duration) {
        let registry = self.registry.clone();
        let changes = registry.changes(self.table, position, wait);
        // A wait on a connection that went silent must not outlast news from elsewhere.
        let read = tokio::select! {
            read = changes => read,
            () = self.until_missing(), if !wait.is_zero() => return,
        };
        match read {
            Ok(rows) => {
                // Without a change the registry answered when the wait was over, not before.
                let waited = if rows.rows.is_empty() {
                    wait
                } else {
                    Duration::ZERO
                };
                self.answered(rows, Some(position), sent, sent + waited);
            }
            Err(error) => self.failed(error, Some(position)),
        }
    }

    /// Reads the rest of the whole table. Pages that arrived are kept when a later one fails, so that
    /// routers that start together get on although the registry refuses some of their calls. `None` if
    /// another router gave the rest.
    async fn read_whole(&mut self) -> Result<Option<Rows>, RegistryError> {
        loop {
            let after = self.pages.as_ref().and_then(|pages| pages.next.clone());
            // Whether the list is long shows in a short first page.
            let first = self.table == Table::Endpoints && after.is_none();
            let limit = first.then_some(SHORT_LIST);
            let mut page = self.registry.read(self.table, after, limit).await?;
            if let Some(mut pages) = self.pages.take() {
                // Changes since the first page come again with those after its position.
                page.position = pages.position;
                pages.rows.append(&mut page.rows);
                page.rows = pages.rows;
            }
            if page.next.is_none() {
                self.asked = false;
                return Ok(Some(page));
            }
            self.pages = Some(page);
            if self.table == Table::Endpoints && !self.asked {
                self.asked = true;
                if handover::wait(&self.shared).await {
                    self.pages = None;
                    return Ok(None);
                }
            }
        }
    }

    /// Takes over what a call that was sent at `sent` showed of the state at `fresh`, and tells the other
    /// routers.
    fn answered(&mut self, rows: Rows, from: Option<Position>, sent: Duration, fresh: Duration) {
        self.shared.metrics.registry_call(self.table, true);
        if self.shared.board().follower(self.table).failures() > 0 {
            log(Event::PlatformUp, &format!("table={}", self.table.as_str()));
        }
        self.lost = false;
        match self.table {
            Table::Configuration => {
                take_configuration(&self.shared, rows, sent, fresh);
                self.shared.publish(None);
            }
            Table::Endpoints | Table::Routers => {
                let feed = take_endpoints(&self.shared, rows, from, sent);
                self.shared.publish(feed);
            }
        }
    }

    fn failed(&mut self, error: RegistryError, from: Option<Position>) {
        self.shared.metrics.registry_call(self.table, false);
        let now = self.shared.now();
        let mut board = self.shared.board();
        let routers = board.routers();
        let follower: &mut Follower = board.follower(self.table);
        let failures = follower.failures();
        match (error, from) {
            // The mark of another router may lie further back than the history, but not the own one.
            (RegistryError::HistoryLost, Some(from)) if self.table == Table::Endpoints => {
                self.lost = follower.history_lost(from);
                return;
            }
            (RegistryError::HistoryLost, _) => {
                self.lost = true;
                return;
            }
            _ => {
                // Another router knows more, so the registry is there.
                let missing = follower.missing_since().is_some();
                let routers = if missing { 1 } else { routers };
                follower.failed(now, retry_delay(failures, routers));
            }
        }
        drop(board);
        if failures == 0 {
            let detail = format!("table={} {error}", self.table.as_str());
            log(Event::PlatformDown, &detail);
        }
    }

    /// Waits until another router knows a change that is missing here.
    async fn until_missing(&self) {
        let hints = self.shared.hints(self.table);
        while self
            .shared
            .board()
            .follower(self.table)
            .missing_since()
            .is_none()
        {
            hints.notified().await;
        }
    }
}
