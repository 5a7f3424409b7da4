//! Reads configuration and endpoints from the registry.

use crate::registry::{Entry, Registry, RegistryError, Rows, Table};
use crate::roster::Change;
use crate::routes::RouteTable;
use crate::shared::{Board, Shared};
use rand::RngExt;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a change of the configuration. A connection that went silent is noticed after
/// this time and the time of an answer, within the bound on applying a configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1500);
/// Pause between reads of the endpoints: less than half of the bound on leaving endpoints.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(700);
/// First and longest pause after a failed call; each is drawn between half and the whole.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time after a failed call for which a row that vanished may only have lapsed: rows are back within
/// 2 s of the registry's return, and a call may have waited for as long before it failed.
const TROUBLE: Duration = Duration::from_secs(4);

/// State of one table's reader.
struct Reader {
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    table: Table,
    position: Option<u64>,
    failures: u32,
    failed_at: Option<Duration>,
}

/// Follows one table until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, registry: Arc<dyn Registry>, table: Table) {
    let mut reader = Reader {
        shared,
        registry,
        table,
        position: None,
        failures: 0,
        failed_at: None,
    };
    loop {
        reader.step().await;
    }
}

impl Reader {
    async fn step(&mut self) {
        let wait = match self.table {
            Table::Configuration => CONFIG_WAIT,
            Table::Endpoints | Table::Routers => Duration::ZERO,
        };
        let whole = self.position.is_none();
        let read = match self.position {
            None => self.registry.read(self.table).await,
            Some(position) => self.registry.changes(self.table, position, wait).await,
        };
        match read {
            Ok(rows) => {
                self.answered();
                self.position = Some(self.position.unwrap_or(0).max(rows.position));
                self.apply(rows, whole);
                if self.table != Table::Configuration {
                    tokio::time::sleep(ENDPOINT_PAUSE).await;
                }
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
            self.position = None;
        }
        let longest = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8) - 1);
        let longest = longest.min(LONGEST_PAUSE);
        let drawn = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(longest.mul_f64(drawn)).await;
    }

    fn apply(&self, rows: Rows, whole: bool) {
        let now = self.shared.now();
        let mut board = self.shared.board();
        match self.table {
            Table::Configuration => apply_configuration(&mut board, rows, &self.shared),
            Table::Endpoints => {
                let troubled = self.failed_at.is_some_and(|at| now < at + TROUBLE);
                let mut changes = if whole {
                    board.roster.replace(rows, troubled, now)
                } else {
                    board.roster.apply(rows, troubled, now)
                };
                changes.extend(board.roster.expire(now));
                board.endpoints_known = true;
                note(&mut board, &self.shared, changes);
            }
            Table::Routers => {}
        }
    }
}

/// Puts the newest configuration in force.
fn apply_configuration(board: &mut Board, rows: Rows, shared: &Shared) {
    for row in rows.rows {
        match row.entry {
            Entry::Configuration(manifest) => {
                let version = manifest.version;
                let known = board
                    .routes
                    .as_ref()
                    .map(|routes| routes.manifest().version);
                if known.is_some_and(|known| known >= version) {
                    continue;
                }
                board.routes = Some(Arc::new(RouteTable::new(manifest)));
                shared
                    .metrics
                    .version
                    .set(i64::try_from(version).unwrap_or(i64::MAX));
                log(
                    Event::ConfigApplied,
                    &format!(
                        "version={version} before={known:?} position={}",
                        row.position
                    ),
                );
            }
            Entry::Malformed(reason) => log(Event::ConfigInvalid, &reason),
            Entry::Endpoint(_) | Entry::Router(_) | Entry::PeerKey(_) | Entry::Removed => {}
        }
    }
}

/// Logs changes of endpoints and forgets what no longer holds of them.
fn note(board: &mut Board, shared: &Shared, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Joined(id) => log(Event::EndpointJoined, &format!("endpoint={id}")),
            Change::Restarted(id) => {
                board.health.forget(&id);
                board.cache.forget(&id);
                shared.upstream.forget(&id);
                log(Event::EndpointRestarted, &format!("endpoint={id}"));
            }
            Change::Leaving(id) => log(Event::EndpointLeaving, &format!("endpoint={id}")),
            Change::Gone(id) => {
                board.health.forget(&id);
                board.cache.forget(&id);
                shared.upstream.forget(&id);
                log(Event::EndpointLeaving, &format!("endpoint={id} gone=true"));
            }
            Change::Lapsed(id) => log(Event::EndpointLapsed, &format!("endpoint={id}")),
            Change::Malformed(id, reason) => {
                log(Event::EndpointMalformed, &format!("endpoint={id} {reason}"));
            }
        }
    }
}
