//! Puts news of configuration and endpoints in force, read here or heard from other routers.

use crate::crashes::{Source, ran, strike, strike_own};
use crate::departures::hear_departed;
use crate::feed::{ChangedRow, Feed, MAX_TOLD};
use crate::follower::Known;
use crate::load::Sender;
use crate::manifest::{EndpointEntry, Manifest};
use crate::registry::{Entry, Position, Row, Rows, Table};
use crate::roster::Change;
use crate::routes::RouteTable;
use crate::shared::{Board, Shared};
use crate::tell::Tell;
use sequoiaridge_core::{Event, RouterId};
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Age of the news beyond which the registry was away from the whole fleet: all routers that may read
/// for it have tried by then. Rows of endpoints lapse after 3.6 s of silence.
const AWAY: Duration = Duration::from_millis(2500);
/// Time after the registry's return in which a row that vanished may only have lapsed.
const RETURN: Duration = Duration::from_secs(2);

/// Takes over what another router tells. `at` is the earliest time at which the message may have come.
pub(crate) fn hear(shared: &Shared, router: &RouterId, tell: Tell, at: Duration) {
    let now = shared.now();
    let mut board = shared.board();
    hear_endpoints(&mut board, shared, tell.endpoints.as_ref(), tell.feed, at);
    let behind = board.configuration.missing_since();
    if let Some(known) = &tell.configuration {
        board.configuration.hear(known, at);
    }
    hint(&mut board, shared, Table::Configuration, behind);
    if let Some(work) = tell.work {
        let work = work.into_iter().collect();
        let from = Sender {
            id: router,
            domain: &tell.domain,
            link: tell.link,
        };
        board.loads.hear(from, work, tell.draining, now);
    }
    board.loads.hear_reports(&tell.reports, at);
    board.heat.hear(&tell.hot, now);
    for (key, id) in tell.prefixes {
        board.cache.hear(key, &id, now);
    }
    for id in tell.failed {
        board.health.suspect(&id, now);
        let runs = board.ends.doubted(&id, now);
        strike_own(&mut board, shared, &runs);
    }
    let waited = now.saturating_sub(at);
    for crash in tell.crashes {
        let age = crash.age() + waited;
        if board.roster.get(&crash.value.endpoint).is_some() {
            board.ends.hear(&crash.value);
        }
        strike(&mut board, shared, "", &crash.value, age, Source::Router);
        // The others may not know that the same request succeeded here.
        let fingerprint = crash.value.fingerprint;
        if let Some(age) = board.quarantine.recent_success(fingerprint, now) {
            board.news.ran(fingerprint, now.saturating_sub(age));
        }
    }
    for departed in tell.departed {
        let age = departed.age() + waited;
        let (id, boot) = departed.value;
        hear_departed(&mut board, shared, &id, &boot, age);
    }
    for run in tell.ran {
        let age = run.age() + waited;
        ran(&mut board, shared, "", run.value, age, Source::Router);
    }
}

/// Takes over changes of endpoints, and how far their sender knows them.
fn hear_endpoints(
    board: &mut Board,
    shared: &Shared,
    known: Option<&Known>,
    feed: Option<Feed>,
    at: Duration,
) {
    let now = shared.now();
    let behind = board.endpoints.missing_since();
    if let Some(known) = known {
        note_return(board, known.age, now);
    }
    if let Some(feed) = feed {
        for feed in board.endpoints.hear_feed(feed, now) {
            apply_endpoints(board, shared, feed.into_rows(), false, now);
        }
    }
    if let Some(known) = known {
        board.endpoints.hear(known, at);
    }
    hint(board, shared, Table::Endpoints, behind);
}

/// Wakes the reader of a table that has just fallen behind. `behind` is since when it was before.
fn hint(board: &mut Board, shared: &Shared, table: Table, behind: Option<Duration>) {
    if behind.is_none() && board.follower(table).missing_since().is_some() {
        shared.metrics.gaps(table);
        shared.hints(table).notify_one();
    }
}

/// Notes when news come after the registry was away from the whole fleet.
fn note_return(board: &mut Board, age: u32, now: Duration) {
    let fresh = Duration::from_millis(age.into()) < AWAY;
    let away = board.endpoints.age(now).is_some_and(|age| age > AWAY);
    if fresh && away {
        board.returned = Some(now);
    }
}

/// Takes over endpoints that were read: the changes after `from`, or the whole table. Returns what the
/// other routers are told: the changes since the position that was known before, if there is one and they
/// are not too many.
pub(crate) fn take_endpoints(
    shared: &Shared,
    mut rows: Rows,
    from: Option<Position>,
    sent: Duration,
) -> Option<Feed> {
    let now = shared.now();
    let to = rows.position;
    let mut board = shared.board();
    note_return(&mut board, 0, now);
    let mark = board.endpoints.mark();
    let from = match (from, mark) {
        // With what is known, the whole table shows what changed, so that others need not read it, too.
        (None, Some(mark)) if mark <= to => {
            rows = board.roster.changes_to(rows, mark);
            Some(mark)
        }
        (from, _) => from,
    };
    // Rows that this router knows are for those that lag; they ask for them.
    let known = |row: &&Row| mark.is_some_and(|mark| row.position <= mark);
    let lagging: Vec<ChangedRow> = rows.rows.iter().filter(known).map(changed_row).collect();
    let new: Vec<Row> = rows
        .rows
        .iter()
        .filter(|row| !known(row))
        .cloned()
        .collect();
    let news = board.roster.news(&new);
    let changed: Vec<ChangedRow> = lagging.into_iter().chain(news.iter().cloned()).collect();
    apply_endpoints(&mut board, shared, rows, from.is_none(), now);
    board.endpoints.answered();
    match from {
        Some(from) => {
            board.endpoints.changes(from, to, &changed);
            board.endpoints.led(sent, sent);
        }
        None => board.endpoints.whole(to, sent),
    }
    drop(board);
    shared.check_informed();
    let from = mark.filter(|_| !news.is_empty() && news.len() <= MAX_TOLD)?;
    Some(Feed {
        from,
        to,
        changed: news,
    })
}

fn changed_row(row: &Row) -> ChangedRow {
    let entry = match &row.entry {
        Entry::Endpoint(entry) => Some(entry.clone()),
        _ => None,
    };
    (row.key.clone(), row.position, entry)
}

/// Takes over the whole list of endpoints as another router knew it.
pub(crate) fn take_list(shared: &Shared, rows: Rows, fresh: Duration) {
    let now = shared.now();
    let mut board = shared.board();
    let mark = rows.position;
    apply_endpoints(&mut board, shared, rows, true, now);
    board.endpoints.whole(mark, fresh);
    drop(board);
    shared.check_informed();
}

/// Takes over the configuration as it was read by a call that was sent at `sent`.
pub(crate) fn take_configuration(shared: &Shared, rows: Rows, sent: Duration, fresh: Duration) {
    let mut board = shared.board();
    let position = rows.position;
    for row in rows.rows {
        match row.entry {
            Entry::Configuration(manifest) => {
                put_in_force(&mut board, shared, manifest, row.position);
            }
            Entry::Malformed(reason) => log(Event::ConfigInvalid, &reason),
            _ => {}
        }
    }
    board.config_position = board.config_position.max(position);
    let version = board.version();
    board.configuration.answered();
    let started = board.configuration.mark().is_none();
    board.configuration.version(version, fresh);
    if !started {
        board.configuration.led(sent, fresh);
    }
    drop(board);
    shared.check_informed();
}

/// Takes over the configuration of another router, or that there is none yet.
pub(crate) fn take_manifest(
    shared: &Shared,
    manifest: Option<Arc<Manifest>>,
    position: Position,
    fresh: Duration,
) {
    let mut board = shared.board();
    let version = manifest.as_ref().map_or(0, |manifest| manifest.version);
    if let Some(manifest) = manifest {
        put_in_force(&mut board, shared, manifest, position);
    }
    board.config_position = board.config_position.max(position);
    board.configuration.version(version, fresh);
    drop(board);
    shared.check_informed();
}

/// Puts a configuration in force unless the one in force is as new.
fn put_in_force(board: &mut Board, shared: &Shared, manifest: Arc<Manifest>, position: Position) {
    let version = manifest.version;
    let known = board.version();
    if known >= version {
        return;
    }
    board.routes = Some(Arc::new(RouteTable::new(manifest)));
    let gauge = i64::try_from(version).unwrap_or(i64::MAX);
    shared.metrics.version.set(gauge);
    log(
        Event::ConfigApplied,
        &format!("version={version} before={known} position={position}"),
    );
}

fn apply_endpoints(board: &mut Board, shared: &Shared, rows: Rows, whole: bool, now: Duration) {
    let troubled = board
        .returned
        .is_some_and(|returned| now < returned + RETURN);
    let mut changes = if whole {
        board.roster.replace(rows, troubled, now)
    } else {
        board.roster.apply(rows, troubled, now)
    };
    changes.extend(board.roster.expire(now));
    note(board, shared, changes);
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
                let boot = board
                    .roster
                    .get(&id)
                    .map_or_else(String::new, EndpointEntry::boot);
                let runs = board.ends.restarted(&id, &boot, shared.now());
                strike_own(board, shared, &runs);
                forget(board, shared, &id);
                log(Event::EndpointRestarted, &format!("endpoint={id}"));
            }
            Change::Leaving(id) => log(Event::EndpointLeaving, &format!("endpoint={id}")),
            Change::Gone(id) => {
                forget(board, shared, &id);
                board.ends.forget(&id);
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
