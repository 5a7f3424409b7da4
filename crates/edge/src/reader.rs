//! Reads the configuration and the endpoints from the registry, mostly once for the whole fleet.
//!
//! A router reads a table when its state is too old, or when it lacks a change that no other router
//! provides. docs/platform.md has the bounds.

use crate::follower::Follower;
use crate::registry::{Position, Registry, RegistryError, Rows, Table};
use crate::schedule::{CONFIG_WAIT, Schedule, jittered, retry_delay, takeover_delay};
use crate::shared::{RoutingState, Shared};
use crate::snapshot;
use crate::sync::{apply_configuration, apply_endpoint_rows};
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two reads caused by a missing version, as a share of the bound on applying
/// a configuration. It lets one read cover versions that come in quick succession, and still allows
/// a failed read to be repeated in time.
const GAP_READ_SHARE: f64 = 0.35;
/// Pause between two requests for a configuration to other routers; drawn between half and the
/// whole.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the rows of the other routers before a router that starts reads the tables
/// itself.
const JOIN_WAIT: Duration = Duration::from_millis(100);
/// The same at the first start of the fleet, when no caller waits.
const FIRST_JOIN_WAIT: Duration = Duration::from_millis(2000);

/// Endpoints up to which each router that starts reads the whole table itself, in one call: a full
/// page. Routers that wait for others after all lost power refuse requests in the meantime.
const SINGLE_PAGE: usize = 500;

/// Reader of one table.
struct Reader {
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    table: Table,
    /// When a missing version last caused a read.
    last_gap_read: Option<Duration>,
    /// Pages that were read so far of a whole table.
    pages: Option<Rows>,
    /// Whether the other routers were asked for a table with more than one page.
    asked_peers: bool,
    /// Position after which the registry no longer has the history. A router that is not beyond it
    /// reads the whole table.
    lost: Option<Position>,
}

/// Keeps the configuration and the endpoints up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, registry: Arc<dyn Registry>) {
    let first_start = shared.settings.first_start;
    let join_wait = if first_start {
        FIRST_JOIN_WAIT
    } else {
        JOIN_WAIT
    };
    shared.wait_joined(join_wait).await;
    snapshot::fetch_at_start(&shared).await;
    for table in [Table::Configuration, Table::Endpoints] {
        tokio::spawn(follow_table(shared.clone(), registry.clone(), table));
    }
}

async fn follow_table(shared: Arc<Shared>, registry: Arc<dyn Registry>, table: Table) {
    let mut reader = Reader {
        shared,
        registry,
        table,
        last_gap_read: None,
        pages: None,
        asked_peers: false,
        lost: None,
    };
    loop {
        reader.wait_until_due().await;
        reader.read().await;
    }
}

impl Reader {
    /// Waits until the table is too old, or a change is missing for too long.
    async fn wait_until_due(&mut self) {
        let shared = self.shared.clone();
        let hints = shared.hints(self.table);
        loop {
            let (due, has_gap) = self.next_read();
            let now = self.shared.now();
            if now >= due {
                if has_gap {
                    self.last_gap_read = Some(now);
                }
                return;
            }
            let fetched = match self.table {
                Table::Configuration if has_gap => snapshot::fetch_configuration(&shared).await,
                Table::Endpoints if has_gap => {
                    let repair_time = self.schedule().repair_time();
                    snapshot::fetch_endpoints(&shared, repair_time).await
                }
                _ => false,
            };
            if fetched {
                continue;
            }
            let pause = if has_gap {
                jittered(REQUEST_PAUSE)
            } else {
                due - now
            };
            tokio::select! {
                () = tokio::time::sleep(pause.min(due - now)) => {}
                () = hints.notified(), if !has_gap => {}
            }
        }
    }

    fn schedule(&self) -> Schedule {
        let settings = &self.shared.settings;
        Schedule {
            leave_bound: settings.leave_bound,
            apply_bound: settings.apply_bound,
        }
    }

    /// When this router reads the table unless a newer state arrives first, and whether a change is
    /// missing.
    fn next_read(&self) -> (Duration, bool) {
        let (settings, schedule) = (&self.shared.settings, self.schedule());
        let mut state = self.shared.lock_state();
        let place = state.reader_rank(settings);
        let is_lost = self.is_lost(&state);
        let follower = state.follower(self.table);
        let has_gap = follower.gap_since().is_some();
        let period = schedule.period(self.table, follower.is_reader());
        let repair_wait = if follower.is_era_behind() {
            schedule.era_timeout(place, &settings.id)
        } else {
            schedule.gap_timeout(self.table, place, &settings.id)
        };
        if is_lost && !follower.is_era_behind() {
            return (follower.not_before(), false);
        }
        let mut due = follower.next_read(period, takeover_delay(place, &settings.id), repair_wait);
        if has_gap && let Some(last) = self.last_gap_read {
            due = due.max(last + settings.apply_bound.mul_f64(GAP_READ_SHARE));
        }
        (due, has_gap)
    }

    /// Whether the registry no longer has the history after this router's position.
    fn is_lost(&self, state: &RoutingState) -> bool {
        let own = match self.table {
            Table::Configuration => Some(state.config_position),
            Table::Endpoints | Table::Routers => state.endpoints.revision(),
        };
        own <= self.lost
    }

    async fn read(&mut self) {
        let (from, leads) = {
            let mut state = self.shared.lock_state();
            let is_lost = self.is_lost(&state);
            let follower = state.follower(self.table);
            let leads = follower.is_reader() && follower.gap_since().is_none();
            (follower.read_from().filter(|_| !is_lost), leads)
        };
        let sent = self.shared.now();
        match (self.table, from) {
            (Table::Configuration, Some(_)) => {
                let position = self.shared.lock_state().config_position;
                // A router that takes over reading for the fleet does not wait for a change, so
                // that it tells the others before they take over, too.
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
                    Ok(Some(rows)) => self.apply_read(rows, from, sent, sent),
                    Ok(None) => {}
                    Err(error) => self.record_failure(error, from),
                }
            }
        }
    }

    /// Reads the configuration with a long poll: the registry waits up to `wait` for a change.
    async fn read_configuration(&mut self, position: Position, wait: Duration, sent: Duration) {
        let registry = self.registry.clone();
        let changes = registry.changes(self.table, position, wait);
        // A poll on a connection that went silent must not outlast a change that another router
        // reports.
        let read = tokio::select! {
            read = changes => read,
            () = self.wait_for_gap(), if !wait.is_zero() => return,
        };
        match read {
            Ok(rows) => {
                // Without a change, the registry answered at the end of the wait, so the state is
                // as of then.
                let waited = if rows.rows.is_empty() {
                    wait
                } else {
                    Duration::ZERO
                };
                self.apply_read(rows, Some(position), sent, sent + waited);
            }
            Err(error) => self.record_failure(error, Some(position)),
        }
    }

    /// Reads the remaining pages of the whole table. Pages that arrived are kept when a later one
    /// fails, so that routers that start together make progress although the registry refuses some
    /// of their calls. `None` if another router provided the table instead.
    async fn read_whole(&mut self) -> Result<Option<Rows>, RegistryError> {
        loop {
            let after = self.pages.as_ref().and_then(|pages| pages.next.clone());
            // A short first page tells whether the table is long.
            let first = self.table == Table::Endpoints && after.is_none();
            let limit = first.then_some(SINGLE_PAGE);
            let mut page = self.registry.read(self.table, after, limit).await?;
            let era = page.position.era;
            if self
                .pages
                .as_ref()
                .is_some_and(|pages| pages.position.era != era)
            {
                // The registry came back from a copy in between; its table is another one.
                self.pages = None;
                continue;
            }
            if let Some(mut pages) = self.pages.take() {
                // Changes since the first page are returned again by the read of changes after its
                // position.
                page.position = pages.position;
                pages.rows.append(&mut page.rows);
                page.rows = pages.rows;
            }
            if page.next.is_none() {
                self.asked_peers = false;
                return Ok(Some(page));
            }
            self.pages = Some(page);
            if self.table == Table::Endpoints && !self.asked_peers {
                self.asked_peers = true;
                if snapshot::wait_for_endpoints(&self.shared).await {
                    self.pages = None;
                    return Ok(None);
                }
            }
        }
    }

    /// Applies the rows that a call sent at `sent` returned, which show the state at `verified_at`,
    /// and publishes them to the other routers.
    fn apply_read(
        &mut self,
        rows: Rows,
        from: Option<Position>,
        sent: Duration,
        verified_at: Duration,
    ) {
        if from.is_some_and(|from| from.era != rows.position.era) {
            // Versions are given out again in each era, so these are not the changes after `from`.
            return self.record_failure(RegistryError::HistoryLost, from);
        }
        self.shared.metrics.registry_call(self.table, true);
        if from.is_none() {
            self.lost = None;
        }
        if self.shared.lock_state().follower(self.table).failures() > 0 {
            log(Event::PlatformUp, &format!("table={}", self.table.as_str()));
        }
        match self.table {
            Table::Configuration => {
                apply_configuration(&self.shared, rows, from.is_none(), sent, verified_at);
                self.shared.publish(None);
            }
            Table::Endpoints | Table::Routers => {
                let feed = apply_endpoint_rows(&self.shared, rows, from, sent);
                self.shared.publish(feed);
            }
        }
    }

    fn record_failure(&mut self, error: RegistryError, from: Option<Position>) {
        self.shared.metrics.registry_call(self.table, false);
        let now = self.shared.now();
        let mut state = self.shared.lock_state();
        let routers = state.routers();
        let follower: &mut Follower = state.follower(self.table);
        let failures = follower.failures();
        match (error, from) {
            // The revision of another router may be older than the registry's history; this
            // router's own may not.
            (RegistryError::HistoryLost, Some(from)) => {
                if self.table == Table::Endpoints {
                    follower.history_lost(from);
                }
                self.lost = self.lost.max(Some(from));
                return;
            }
            _ => {
                // Another router has a newer state, so the registry can be reached.
                let has_gap = follower.gap_since().is_some();
                let routers = if has_gap { 1 } else { routers };
                follower.record_failure(now, retry_delay(failures, routers));
            }
        }
        drop(state);
        if failures == 0 {
            let detail = format!("table={} {error}", self.table.as_str());
            log(Event::PlatformDown, &detail);
        }
    }

    /// Waits until another router has a change that this one lacks.
    async fn wait_for_gap(&self) {
        let hints = self.shared.hints(self.table);
        while self
            .shared
            .lock_state()
            .follower(self.table)
            .gap_since()
            .is_none()
        {
            hints.notified().await;
        }
    }
}
