//! Reads configuration and endpoints from the registry, mostly once for the whole fleet.
//!
//! Each router may read a table when its last news of it is older than a period that grows with the
//! router's place among the others. So the first router that lives and reaches the registry
//! reads, tells the others what changed, and they need not ask. docs/platform.md has the bounds.

use crate::feed::Feed;
use crate::handover;
use crate::registry::{Entry, Registry, RegistryError, Row, Rows, Table};
use crate::roster::Change;
use crate::routes::RouteTable;
use crate::shared::{Board, Shared};
use rand::RngExt;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_policy::Backoff;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a read for a change of the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1000);
/// Age of the news about endpoints at which the first router reads again, as a part of the bound on
/// leaving endpoints: the next routers can take over within the bound.
const ENDPOINT_PART: f64 = 0.25;
/// Time by which each router waits longer than the one before it in their order; several times as long
/// as a read and a message take.
const STEP: Duration = Duration::from_millis(150);
/// Places in the order beyond which routers wait no longer, so that the age stays bounded.
const MAX_PLACE: usize = 3;
/// Pause before a read that news of others cause, drawn so that routers do not call in step.
const HINT_PAUSE: Duration = Duration::from_millis(100);
/// Least time between two such reads, as a part of the bound on applying a configuration: versions
/// that come in quick succession are read together, and a read that fails can be made again in time.
const HINT_PART: f64 = 0.35;
/// Pauses after calls that failed in a row; each is drawn between half and the whole.
const RETRY: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(800),
};
/// Age of the news beyond which the registry was away from the whole fleet: the last router in their
/// order reads at an age of about a second. Rows of endpoints lapse after 3.6 s of silence.
const AWAY: Duration = Duration::from_millis(2500);
/// Time after the registry's return in which a row that vanished may only have lapsed.
const RETURN: Duration = Duration::from_secs(2);

/// Endpoints up to which each router that starts reads the list itself, in one call: a whole page.
/// Routers that wait for others after a power cut of all refuse requests in the meantime.
const SHORT_LIST: usize = 500;
/// Feeds that wait for what comes before them.
const MAX_EARLY: usize = 32;

/// Reader of one table.
struct Reader {
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    table: Table,
    failures: u32,
    /// When news of others last caused a read.
    last_hint: Duration,
    /// Pages of a whole table that is being read.
    pages: Option<Rows>,
    /// Whether the other routers were asked for a table with more than one page.
    asked: bool,
}

/// Follows one table until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, registry: Arc<dyn Registry>, table: Table) {
    let mut reader = Reader {
        shared,
        registry,
        table,
        failures: 0,
        last_hint: Duration::ZERO,
        pages: None,
        asked: false,
    };
    loop {
        reader.wait_until_due().await;
        reader.read().await;
    }
}

impl Reader {
    /// Waits until the news of the table are too old, or another router has newer ones.
    async fn wait_until_due(&mut self) {
        let shared = self.shared.clone();
        let hints = shared.hints(self.table);
        loop {
            if self.shared.board().is_behind(self.table) {
                let since = self.shared.now().saturating_sub(self.last_hint);
                let period = self.shared.settings.apply.mul_f64(HINT_PART);
                let left = period.saturating_sub(since);
                tokio::time::sleep(left.max(drawn(HINT_PAUSE))).await;
                // What was missing may have come in the meantime, out of order.
                if self.shared.board().is_behind(self.table) {
                    self.last_hint = self.shared.now();
                    return;
                }
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
        let place = board.place(&self.shared.settings).min(MAX_PLACE);
        let period = match (self.table, place) {
            (Table::Configuration, 0) => Duration::ZERO,
            (Table::Configuration, _) => CONFIG_WAIT,
            (Table::Endpoints | Table::Routers, _) => {
                self.shared.settings.leave.mul_f64(ENDPOINT_PART)
            }
        };
        *fresh + period + STEP * u32::try_from(place).unwrap_or(u32::MAX)
    }

    async fn read(&mut self) {
        let (position, behind) = {
            let board = self.shared.board();
            let position = board.positions.get(&self.table).copied();
            (position, board.is_behind(self.table))
        };
        let read = match position {
            None => self.read_whole().await,
            Some(position) if behind || self.table != Table::Configuration => {
                let wait = Duration::ZERO;
                self.registry.changes(self.table, position, wait).await
            }
            Some(position) => {
                let changes = self.registry.changes(self.table, position, CONFIG_WAIT);
                // A wait on a connection that went silent must not outlast news from elsewhere.
                tokio::select! {
                    read = changes => read,
                    () = self.until_behind() => return,
                }
            }
        };
        match read {
            Ok(rows) => {
                self.answered();
                self.apply(rows, position);
            }
            Err(error) => self.failed(error).await,
        }
    }

    /// Reads the rest of the whole table. Pages that arrived are kept when a later one fails, so that
    /// routers that start together get on although the registry refuses some of their calls.
    async fn read_whole(&mut self) -> Result<Rows, RegistryError> {
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
                return Ok(page);
            }
            self.pages = Some(page);
            if self.table == Table::Endpoints
                && !self.asked
                && let Some(rows) = self.list_of_others().await
            {
                self.pages = None;
                return Ok(rows);
            }
        }
    }

    /// The list of endpoints from another router, once for each time that it is read whole.
    async fn list_of_others(&mut self) -> Option<Rows> {
        self.asked = true;
        handover::wait(&self.shared).await
    }

    fn answered(&mut self) {
        self.shared.metrics.registry_call(self.table, true);
        if self.failures > 0 {
            log(Event::PlatformUp, &format!("table={}", self.table.as_str()));
        }
        self.failures = 0;
    }

    async fn failed(&mut self, error: RegistryError) {
        self.shared.metrics.registry_call(self.table, false);
        let failures = self.failures;
        self.failures = failures.saturating_add(1);
        if failures == 0 {
            let detail = format!("table={} {error}", self.table.as_str());
            log(Event::PlatformDown, &detail);
        }
        if error == RegistryError::HistoryLost {
            self.shared.board().positions.remove(&self.table);
        }
        tokio::time::sleep(drawn(RETRY.ceiling(failures))).await;
    }

    /// Waits until another router has newer news.
    async fn until_behind(&self) {
        let hints = self.shared.hints(self.table);
        while !self.shared.board().is_behind(self.table) {
            hints.notified().await;
        }
    }

    /// Takes over what was read and tells the other routers.
    ///
    /// Each feed repeats what the one before it told, so that a lost datagram leaves no gap.
    fn apply(&mut self, rows: Rows, from: Option<u64>) {
        let now = self.shared.now();
        let to = rows.position;
        let mut board = self.shared.board();
        let changed = match self.table {
            Table::Configuration => {
                apply_configuration(&mut board, rows, &self.shared);
                Vec::new()
            }
            Table::Endpoints => {
                let changed = board.roster.news(&rows.rows);
                apply_endpoints(&mut board, &self.shared, rows, from.is_none(), now);
                changed
            }
            Table::Routers => Vec::new(),
        };
        board.fresh.insert(self.table, now);
        board
            .positions
            .insert(self.table, to.max(from.unwrap_or(0)));
        let version = board.version();
        drop(board);
        self.shared.check_informed();
        let Some(from) = from else {
            return;
        };
        let feed = Feed {
            table: self.table,
            from,
            to,
            version,
            changed,
        };
        let previous = self.shared.board().recent.insert(self.table, feed.clone());
        let feed = match previous {
            Some(previous) => feed.repeating(&previous),
            None => feed,
        };
        self.shared.publish(feed);
    }
}

/// A time between half and the whole of `longest`, so that routers do not call in step.
pub(crate) fn drawn(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Takes over what another router read, and what came before it out of order.
pub(crate) fn hear(shared: &Shared, feed: Feed, now: Duration) {
    let mut board = shared.board();
    let table = feed.table;
    if !board.positions.contains_key(&table) {
        return;
    }
    if !follows(&board, &feed) {
        board.early.push_back(feed);
        if board.early.len() > MAX_EARLY {
            board.early.pop_front();
        }
        board.behind.insert(table);
        drop(board);
        shared.hints(table).notify_one();
        return;
    }
    take_over(&mut board, shared, feed, now);
    while let Some(index) = board.early.iter().position(|feed| follows(&board, feed)) {
        let Some(feed) = board.early.remove(index) else {
            break;
        };
        take_over(&mut board, shared, feed, now);
    }
    if board.early.iter().any(|feed| feed.table == table) {
        board.behind.insert(table);
    }
}

/// Whether nothing is missing between what is known and the feed.
fn follows(board: &Board, feed: &Feed) -> bool {
    match feed.table {
        Table::Configuration => board.version() >= feed.version,
        Table::Endpoints | Table::Routers => {
            let position = board.positions.get(&feed.table);
            position.is_some_and(|position| *position >= feed.from)
        }
    }
}

fn take_over(board: &mut Board, shared: &Shared, feed: Feed, now: Duration) {
    let table = feed.table;
    let to = feed.to;
    board.recent.insert(table, feed.clone());
    if table == Table::Endpoints {
        apply_endpoints(board, shared, feed.into_rows(), false, now);
    }
    board.fresh.insert(table, now);
    let position = board.positions.entry(table).or_default();
    *position = (*position).max(to);
    board.behind.remove(&table);
}

fn apply_endpoints(board: &mut Board, shared: &Shared, rows: Rows, whole: bool, now: Duration) {
    let fresh = board.fresh.get(&Table::Endpoints);
    if fresh.is_some_and(|fresh| now > *fresh + AWAY) {
        board.returned = Some(now);
    }
    let troubled = board
        .returned
        .is_some_and(|returned| now < returned + RETURN);
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
            Change::Joined(id) => {
                let leaving = board.roster.get(&id).is_some_and(|entry| entry.leaving);
                let detail = format!("endpoint={id} leaving={leaving}");
                log(Event::EndpointJoined, &detail);
            }
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
