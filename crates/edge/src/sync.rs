//! Applies messages of other routers, and endpoints that this router read or received from them.

mod configuration;

pub(crate) use configuration::{apply_configuration, apply_evacuations, apply_manifest};

use crate::crashes::{CrashSource, record_crash, record_own_crashes, suspect_succeeded};
use crate::endpoint_notices::{peer_reported_leaving, peer_reported_limit};
use crate::feed::{ChangedRow, Feed, MAX_FEED_CHANGES};
use crate::follower::TableDigest;
use crate::load::PeerRouter;
use crate::manifest::EndpointEntry;
use crate::peer_message::PeerMessage;
use crate::peers::SUCCESS_WINDOW;
use crate::registry::{Position, Row, Rows, Table};
use crate::roster::RosterChange;
use crate::saved_versions::note_versions;
use crate::shared::{RoutingState, Shared};
use sequoiaridge_core::{EndpointId, Event, RouterId};
use sequoiaridge_log::log;
use sequoiaridge_policy::Suspect;
use std::time::Duration;

/// Age of the endpoint table beyond which the registry was unreachable for the whole fleet: by
/// then, all routers that may read for it have tried. Rows of endpoints lapse after 3.6 s of
/// silence.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);
/// Age beyond which the registry may be away, as a share of the bound on leaving endpoints: the reader
/// reads the table at half of it.
const AWAY_SHARE: f64 = 0.5;
/// Time after the registry's return in which a row that vanished may only have lapsed.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Applies a message from another router. `at` is the earliest time at which it may have arrived.
pub(crate) fn apply_message(
    shared: &Shared,
    router: &RouterId,
    message: PeerMessage,
    at: Duration,
) {
    let now = shared.now();
    let delay = now.saturating_sub(at);
    let unreachable = message.unreachable_after(delay).to_vec();
    let mut state = shared.lock_state();
    apply_endpoint_gossip(
        &mut state,
        shared,
        message.endpoints.as_ref(),
        message.feed,
        at,
    );
    let gap_before = state.configuration.gap_since();
    if let Some(digest) = &message.configuration {
        state.configuration.apply_digest(digest, at);
    }
    wake_if_behind(&mut state, shared, Table::Configuration, gap_before);
    if let Some(set) = message.evacuations {
        apply_evacuations(&mut state, shared, set);
    }
    if let Some(work) = message.work {
        let work = work.into_iter().collect();
        let from = PeerRouter {
            id: router,
            domain: &message.domain,
            link_mbps: message.link_mbps,
        };
        state.loads.set_peer_work(from, work, message.draining, now);
    }
    if !message.origins.is_empty() {
        state.streams.merge(&message.origins, now);
        shared.notify_origins_told();
    }
    state.loads.merge_reports(&message.load_reports, at);
    state.hot_subjects.merge(&message.hot_subjects, now);
    if !message.demand.is_empty() {
        state.admission.merge(router, message.demand, at);
    }
    for (key, id) in message.prefixes {
        state.cache.record_remote(key, &id, now);
    }
    for id in unreachable {
        state.health.suspect(&id, now);
        let runs = state.terminations.reported_unreachable(&id, now);
        record_own_crashes(&mut state, shared, &runs);
    }
    for crash in message.crashes {
        let age = crash.age() + delay;
        let (endpoint, boot) = (&crash.value.endpoint, &crash.value.boot);
        let crashed_at = now.saturating_sub(age);
        state.departures.record_crash(endpoint, boot, crashed_at);
        if state.roster.get(&crash.value.endpoint).is_some() {
            state.terminations.apply_crash(&crash.value);
        }
        record_crash(
            &mut state,
            shared,
            "",
            &crash.value,
            age,
            CrashSource::Router,
        );
        // The other routers may not know that the same request succeeded here. While crashes are
        // recent, successes of parts are in each round.
        let suspect = crash.value.suspect;
        let in_rounds = matches!(suspect, Suspect::Part(_)) && age < SUCCESS_WINDOW;
        if !in_rounds && let Some(age) = state.quarantine.clearing_success(suspect, age, now) {
            let at = now.saturating_sub(age);
            state.outbox.add_succeeded(suspect, at);
        }
    }
    for leaving in message.leaving {
        let age = leaving.age() + delay;
        let (id, boot) = leaving.value;
        peer_reported_leaving(&mut state, shared, &id, &boot, age);
    }
    for limit in message.limits {
        let age = limit.age() + delay;
        peer_reported_limit(&mut state, shared, limit.value, age);
    }
    for success in message.succeeded {
        let age = success.age() + delay;
        suspect_succeeded(
            &mut state,
            shared,
            "",
            success.value,
            age,
            CrashSource::Router,
        );
    }
}

/// Applies changes of endpoints, and the sender's digest of the endpoint table.
fn apply_endpoint_gossip(
    state: &mut RoutingState,
    shared: &Shared,
    digest: Option<&TableDigest>,
    feed: Option<Feed>,
    at: Duration,
) {
    let now = shared.now();
    let gap_before = state.endpoints.gap_since();
    if let Some(digest) = digest {
        note_registry_return(state, digest.age_ms, now);
    }
    if let Some(feed) = feed {
        for feed in state.endpoints.apply_feed(feed, now) {
            update_roster(state, shared, feed.into_rows(), false, now);
        }
    }
    if let Some(digest) = digest {
        state.endpoints.apply_digest(digest, at);
    }
    wake_if_behind(state, shared, Table::Endpoints, gap_before);
}

/// Wakes the reader of a table that has just fallen behind. `gap_before` is since when it was
/// behind before the message.
fn wake_if_behind(
    state: &mut RoutingState,
    shared: &Shared,
    table: Table,
    gap_before: Option<Duration>,
) {
    if gap_before.is_none() && state.follower(table).gap_since().is_some() {
        shared.metrics.gaps(table);
        shared.hints(table).notify_one();
    }
}

/// Records the time when a fresh state arrives after the registry was unreachable for the whole
/// fleet.
fn note_registry_return(state: &mut RoutingState, age: u32, now: Duration) {
    let fresh = Duration::from_millis(age.into()) < OUTAGE_AGE;
    let was_stale = state.endpoints.age(now).is_some_and(|age| age > OUTAGE_AGE);
    if fresh && was_stale {
        state.registry_returned = Some(now);
    }
}

/// Drops endpoints whose rows lapsed and did not come back in time, and gives them more time while the
/// registry is away again.
pub(crate) fn update_lapses(state: &mut RoutingState, shared: &Shared, now: Duration) {
    let Some(age) = state.endpoints.age(now) else {
        return;
    };
    let verified_at = now.saturating_sub(age);
    if age > shared.settings.leave_bound.mul_f64(AWAY_SHARE) {
        state.roster.postpone_lapses(verified_at, now);
    }
    let gone = state.roster.expire(verified_at);
    for change in &gone {
        if let RosterChange::Gone(id) = change {
            // Nothing tells when the row would have been removed without the outage.
            let boot = state.roster.last_boot(id);
            state.departures.record(id, &boot, None, now);
        }
    }
    handle_changes(state, shared, gone);
}

/// Applies endpoints that this router read: the changes after `from`, or the whole table. Returns
/// the feed for the other routers: the changes since the position that was known before, if there
/// is one in the same era and they are not too many.
pub(crate) fn apply_endpoint_rows(
    shared: &Shared,
    mut rows: Rows,
    from: Option<Position>,
    sent: Duration,
) -> Option<Feed> {
    let now = shared.now();
    let to = rows.position;
    let mut state = shared.lock_state();
    note_registry_return(&mut state, 0, now);
    let revision = state.endpoints.revision();
    if revision.is_some_and(|revision| revision.era != to.era) {
        state.endpoints.record_success();
        replace_roster(&mut state, shared, rows, to, EraSource::Registry);
        state.endpoints.replace(to, sent);
        return None;
    }
    let from = match (from, revision) {
        // Compared with the known state, the whole table shows what changed, so that other routers
        // need not read it, too.
        (None, Some(revision)) if revision <= to => {
            rows = state.roster.diff(rows, revision);
            Some(revision)
        }
        (from, _) => from,
    };
    // Rows that this router already has are for routers that lag behind; those request them.
    let is_known = |row: &&Row| revision.is_some_and(|revision| row.position <= revision);
    let lagging: Vec<ChangedRow> = rows.rows.iter().filter(is_known).map(changed_row).collect();
    let new: Vec<Row> = rows
        .rows
        .iter()
        .filter(|row| !is_known(row))
        .cloned()
        .collect();
    let changes = state.roster.new_changes(&new, now);
    let changed: Vec<ChangedRow> = lagging.into_iter().chain(changes.iter().cloned()).collect();
    update_roster(&mut state, shared, rows, from.is_none(), now);
    state.endpoints.record_success();
    match from {
        Some(from) => {
            state.endpoints.apply_changes(from, to, &changed);
            state.endpoints.record_read(sent, sent);
        }
        None => state.endpoints.replace(to, sent),
    }
    drop(state);
    shared.notify_if_ready();
    let from = revision.filter(|_| !changes.is_empty() && changes.len() <= MAX_FEED_CHANGES)?;
    Some(Feed {
        from,
        to,
        changed: changes,
    })
}

fn changed_row(row: &Row) -> ChangedRow {
    (row.key.clone(), row.position, (&row.entry).into())
}

/// Replaces the endpoints with the whole table as another router knew it, with its latest changes.
/// `doubted` are the endpoints that it does not use because only a copy of the registry lists them.
pub(crate) fn replace_endpoints(
    shared: &Shared,
    list: Vec<ChangedRow>,
    tail: &Feed,
    doubted: &[EndpointId],
    verified_at: Duration,
) {
    let now = shared.now();
    let mut state = shared.lock_state();
    let is_newer = state.roster.position() <= tail.to;
    let table = Feed {
        from: Position::default(),
        to: tail.to,
        changed: list,
    };
    let copied_to = if tail.from.era == tail.to.era {
        tail.from
    } else {
        tail.to
    };
    let rows = table.into_rows();
    replace_roster(&mut state, shared, rows, copied_to, EraSource::Router);
    state.endpoints.replace_with_tail(tail, verified_at);
    for id in doubted.iter().filter(|_| is_newer) {
        state.roster.doubt(id, now);
    }
    drop(state);
    shared.notify_if_ready();
}

/// From where a router learns of a later era of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EraSource {
    Registry,
    Router,
}

impl EraSource {
    fn as_str(self) -> &'static str {
        match self {
            EraSource::Registry => "registry",
            EraSource::Router => "router",
        }
    }
}

/// Replaces the roster with the whole table, which may be the first one of a later era; then rows up
/// to `copied_to` may be those of the copy. A table of an earlier era is ignored.
fn replace_roster(
    state: &mut RoutingState,
    shared: &Shared,
    rows: Rows,
    copied_to: Position,
    source: EraSource,
) {
    let now = shared.now();
    let (before, to) = (state.roster.position(), rows.position);
    let listed = rows.rows.len();
    let restored = state.endpoints.revision().is_some() && to.era > before.era;
    shared.note_era(to.era);
    if restored {
        // Rows that the copy lacks are written again soon.
        state.registry_returned = Some(now);
    }
    let after_outage = is_after_outage(state, now);
    let changes = state
        .roster
        .replace_copy(rows, copied_to, after_outage, now);
    handle_changes(state, shared, changes);
    note_versions(state, now);
    if restored {
        let detail = format!(
            "era={} before={} position={to} known={before} source={} listed={listed} lapsing={} doubted={} leaving={}",
            to.era,
            before.era,
            source.as_str(),
            state.roster.lapsing(),
            state.roster.doubted(now).len(),
            state.roster.leaving(),
        );
        log(Event::RegistryRestored, &detail);
    }
}

fn update_roster(
    state: &mut RoutingState,
    shared: &Shared,
    rows: Rows,
    whole: bool,
    now: Duration,
) {
    let after_outage = is_after_outage(state, now);
    let changes = if whole {
        state.roster.replace(rows, after_outage, now)
    } else {
        state.roster.apply(rows, after_outage, now)
    };
    handle_changes(state, shared, changes);
    note_versions(state, now);
}

/// Whether the registry was unreachable a short time ago, so that a row that vanished may only have
/// lapsed.
fn is_after_outage(state: &RoutingState, now: Duration) -> bool {
    let returned = state.registry_returned;
    returned.is_some_and(|returned| now < returned + RECOVERY_TIME)
}

/// Logs changes of endpoints and drops state that no longer holds for them.
fn handle_changes(state: &mut RoutingState, shared: &Shared, changes: Vec<RosterChange>) {
    let now = shared.now();
    // The table was known to be complete without these changes.
    let stayed_until = state.endpoints.age(now).map(|age| now.saturating_sub(age));
    for change in changes {
        match change {
            RosterChange::Joined(id) => {
                note_listed_start(state, &id, stayed_until, now);
                let leaving = state.roster.get(&id).is_some_and(|entry| entry.leaving);
                let detail = format!("endpoint={id} leaving={leaving}");
                log(Event::EndpointJoined, &detail);
            }
            RosterChange::Restarted(id) => {
                note_restart(state, shared, &id);
                note_listed_start(state, &id, stayed_until, now);
            }
            RosterChange::RestartedLeaving(id) => {
                note_restart(state, shared, &id);
                let boot = state.roster.last_boot(&id);
                state.departures.record_next(&id, &boot, now);
            }
            RosterChange::Leaving(id) => {
                let boot = state.roster.last_boot(&id);
                state.departures.record(&id, &boot, stayed_until, now);
                log(Event::EndpointLeaving, &format!("endpoint={id}"));
            }
            RosterChange::Gone(id) => {
                forget_endpoint(state, shared, &id);
                state.terminations.forget(&id);
                let boot = state.roster.last_boot(&id);
                state.departures.record(&id, &boot, stayed_until, now);
                log(Event::EndpointLeaving, &format!("endpoint={id} gone=true"));
            }
            RosterChange::Lapsed(id) => log(Event::EndpointLapsed, &format!("endpoint={id}")),
            RosterChange::Malformed(id, reason) => {
                shared.metrics.endpoint_rows_rejected.inc();
                log(Event::EndpointMalformed, &format!("endpoint={id} {reason}"));
            }
        }
    }
}

/// Drops what held for the start of an endpoint before the one that is listed now, and attributes its end.
fn note_restart(state: &mut RoutingState, shared: &Shared, id: &EndpointId) {
    let entry = state.roster.get(id);
    let boot = entry.map_or_else(String::new, EndpointEntry::boot);
    let runs = state.terminations.record_restart(id, &boot, shared.now());
    record_own_crashes(state, shared, &runs);
    forget_endpoint(state, shared, id);
    log(Event::EndpointRestarted, &format!("endpoint={id}"));
}

/// Records that a start that was not listed before is leaving, if it is.
fn note_listed_start(
    state: &mut RoutingState,
    id: &str,
    stayed_until: Option<Duration>,
    now: Duration,
) {
    let boot = state.roster.last_boot(id);
    if state.roster.get(id).is_some_and(|entry| entry.leaving) {
        state.departures.record(id, &boot, stayed_until, now);
    }
}

fn forget_endpoint(state: &mut RoutingState, shared: &Shared, id: &str) {
    state.health.forget(id);
    state.cache.forget(id);
    shared.pool.forget(id);
}
