//! Reads configuration and endpoints from the registry, mostly once for the whole fleet.
//!
//! Each router may read a table when its last news of it is older than a period that grows with the
//! router's place in the order of names. So the first router that lives and reaches the registry
//! reads, tells the others what changed, and they need not ask. docs/platform.md has the bounds.

use crate::feed::Feed;
use crate::registry::{Entry, Registry, RegistryError, Row, Rows, Table};
use crate::roster::Change;
use crate::routes::RouteTable;
use crate::shared::{Board, Shared};
use rand::RngExt;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a read for a change of the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1000);
/// Age of the news about endpoints at which the first router reads again: less than half of the
/// bound on leaving endpoints.
const ENDPOINT_PERIOD: Duration = Duration::from_millis(800);
/// Time by which each router in the order of names waits longer than the one before it; several
/// times as long as a read and a message take.
const STEP: Duration = Duration::from_millis(200);
/// Places in the order beyond which routers wait no longer, so that the age stays bounded.
const MAX_PLACE: usize = 3;
/// Least pause between two reads that news of others cause.
const HINT_PAUSE: Duration = Duration::from_millis(100);
/// First and longest pause after a failed call; each is drawn between half and the whole.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time after a failed call for which a row that vanished may only have lapsed: rows are back within
/// 2 s of the registry's return, and a call may have waited for as long before it failed.
const TROUBLE: Duration = Duration::from_secs(4);

/// Reader of one table.
struct Reader {
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    table: Table,
    failures: u32,
    failed_at: Option<Duration>,
}

/// Follows one table until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, registry: Arc<dyn Registry>, table: Table) {
    let mut reader = Reader {
        shared,
        registry,
        table,
        failures: 0,
        failed_at: None,
    };
    loop {
        reader.wait_until_due().await;
        reader.read().await;
    }
}

impl Reader {
    /// Waits until the news of the table are too old, or another router has newer ones.
    async fn wait_until_due(&self) {
        let hints = self.shared.hints(self.table);
        loop {
            if self.shared.board().is_behind(self.table) {
                return tokio::time::sleep(drawn(HINT_PAUSE)).await;
            }
            let due = self.due();
            let now = self.shared.now();
            if now >= due {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(due - now) => {}
                () = hints.notified() => {}
            }
        }
    }

    /// When this router reads the table unless another one does so before.
    fn due(&self) -> Duration {
        let board = self.shared.board();
        let Some(fresh) = board.fresh.get(&self.table) else {
            return Duration::ZERO;
        };
        let place = board.place(&self.shared.settings.id).min(MAX_PLACE);
        let period = match (self.table, place) {
            (Table::Configuration, 0) => Duration::ZERO,
            (Table::Configuration, _) => CONFIG_WAIT,
            (Table::Endpoints | Table::Routers, _) => ENDPOINT_PERIOD,
        };
        *fresh + period + STEP * u32::try_from(place).unwrap_or(u32::MAX)
    }

    async fn read(&mut self) {
        let wait = match self.table {
            Table::Configuration => CONFIG_WAIT,
            Table::Endpoints | Table::Routers => Duration::ZERO,
        };
        let position = self.shared.board().positions.get(&self.table).copied();
        let read = match position {
            None => self.registry.read(self.table).await,
            Some(position) => self.registry.changes(self.table, position, wait).await,
        };
        match read {
            Ok(rows) => {
                self.answered();
                self.apply(rows, position);
            }
            Err(error) => self.failed(error).await,
        }
    }

    fn answered(&mut self) {
        self.shared
            .metrics
            .registry_call(self.table.as_str(), "answered");
        if self.failures > 0 {
            log(Event::PlatformUp, &format!("table={}", self.table.as_str()));
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: RegistryError) {
        self.shared
            .metrics
            .registry_call(self.table.as_str(), "failed");
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(self.shared.now());
        if self.failures == 1 {
            let detail = format!("table={} {error}", self.table.as_str());
            log(Event::PlatformDown, &detail);
        }
        if error == RegistryError::HistoryLost {
            self.shared.board().positions.remove(&self.table);
        }
        let longest = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8) - 1);
        let longest = longest.min(LONGEST_PAUSE);
        tokio::time::sleep(drawn(longest)).await;
    }

    /// Takes over what was read and tells the other routers.
    fn apply(&self, rows: Rows, from: Option<u64>) {
        let now = self.shared.now();
        let troubled = self.failed_at.is_some_and(|at| now < at + TROUBLE);
        let to = rows.position;
        let mut board = self.shared.board();
        let changed = match self.table {
            Table::Configuration => {
                apply_configuration(&mut board, rows, &self.shared);
                Vec::new()
            }
            Table::Endpoints => {
                let changed = board.roster.news(&rows.rows);
                apply_endpoints(&mut board, &self.shared, rows, from.is_none(), troubled, now);
                changed
            }
            Table::Routers => Vec::new(),
        };
        board.fresh.insert(self.table, now);
        board.positions.insert(self.table, to.max(from.unwrap_or(0)));
        let version = board.version();
        drop(board);
        if let Some(from) = from {
            self.shared.publish(Feed {
                table: self.table,
                from,
                to,
                version,
                troubled,
                changed,
            });
        }
    }
}

/// A time between half and the whole of `longest`, so that routers do not call in step.
fn drawn(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Takes over what another router read.
pub(crate) fn hear(shared: &Shared, feed: Feed, now: Duration) {
    let mut board = shared.board();
    let table = feed.table;
    let Some(position) = board.positions.get(&table).copied() else {
        return;
    };
    let complete = match table {
        Table::Configuration => board.version() >= feed.version,
        Table::Endpoints | Table::Routers => position >= feed.from && !feed.is_cut(),
    };
    if !complete {
        board.behind.insert(table);
        drop(board);
        shared.hints(table).notify_one();
        return;
    }
    let (to, troubled) = (feed.to, feed.troubled);
    if table == Table::Endpoints {
        apply_endpoints(&mut board, shared, feed.into_rows(), false, troubled, now);
    }
    board.fresh.insert(table, now);
    board.positions.insert(table, position.max(to));
    board.behind.remove(&table);
}

fn apply_endpoints(
    board: &mut Board,
    shared: &Shared,
    rows: Rows,
    whole: bool,
    troubled: bool,
    now: Duration,
) {
    let mut changes = if whole {
        board.roster.replace(rows, troubled, now)
    } else {
        board.roster.apply(rows, troubled, now)
    };
    changes.extend(board.roster.expire(now));
    board.behind.remove(&Table::Endpoints);
    note(board, shared, changes);
}

/// Puts the newest configuration in force.
fn apply_configuration(board: &mut Board, rows: Rows, shared: &Shared) {
    board.behind.remove(&Table::Configuration);
    for Row {
        position, entry, ..
    } in rows.rows
    {
        match entry {
            Entry::Configuration(manifest) => {
                let version = manifest.version;
                let known = board.version();
                if known >= version {
                    continue;
                }
                board.routes = Some(Arc::new(RouteTable::new(manifest)));
                let gauge = i64::try_from(version).unwrap_or(i64::MAX);
                shared.metrics.version.set(gauge);
                log(
                    Event::ConfigApplied,
                    &format!("version={version} before={known} position={position}"),
                );
            }
            Entry::Malformed(reason) => log(Event::ConfigInvalid, &reason),
            _ => {}
        }
    }
}

/// Logs changes of endpoints and forgets what no longer holds of them.
fn note(board: &mut Board, shared: &Shared, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Joined(id) => log(Event::EndpointJoined, &format!("endpoint={id}")),
            Change::Restarted(id) => {
                forget(board, shared, &id);
                log(Event::EndpointRestarted, &format!("endpoint={id}"));
            }
            Change::Leaving(id) => log(Event::EndpointLeaving, &format!("endpoint={id}")),
            Change::Gone(id) => {
                forget(board, shared, &id);
                log(Event::EndpointLeaving, &format!("endpoint={id} gone=true"));
            }
            Change::Lapsed(id) => log(Event::EndpointLapsed, &format!("endpoint={id}")),
            Change::Malformed(id, reason) => {
                log(Event::EndpointMalformed, &format!("endpoint={id} {reason}"));
            }
        }
    }
}

fn forget(board: &mut Board, shared: &Shared, id: &str) {
    board.health.forget(id);
    board.cache.forget(id);
    shared.upstream.forget(id);
}
