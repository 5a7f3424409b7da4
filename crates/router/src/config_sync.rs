//! Keeps the configuration in force up to date. See section 4.4 of `docs/design.md`.

use crate::gossip;
use crate::metrics::Traffic;
use crate::shared::{Phase, Shared, lock};
use bytes::Bytes;
use rand::RngExt;
use sequoiaridge_core::{Change, Event, FleetConfig, Version};
use sequoiaridge_log as event;
use sequoiaridge_membership::Message;
use sequoiaridge_store::{ApplyOutcome, ConfigUpdates};
use sequoiaridge_wire::Frame;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks for a newer version in gossip.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Mean time between two polls of the platform. Notices and gossip are faster; a poll finds a
/// change whose router died after accepting it and before announcing it.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let stopped = shared.stopped();
    tokio::pin!(stopped);
    let mut next_poll = Duration::ZERO;
    loop {
        let now = shared.now();
        if let Some(peer) = peer_ahead(&shared)
            && !pull(&shared, peer).await
        {
            next_poll = next_poll.min(now);
        }
        if now >= next_poll {
            poll(&shared).await;
            next_poll = shared.now() + POLL_INTERVAL.mul_f64(shared.rng().random_range(0.5..1.5));
        }
        tokio::select! {
            () = &mut stopped => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Returns the address of the peer with the highest version if that is newer than the version here.
///
/// Without a configuration, this falls back to any peer and then to the first seed.
fn peer_ahead(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.config.version();
    let (highest, peer, peers) = {
        let detector = lock(&shared.detector);
        let (version, peer) = detector.highest_version();
        (version, peer, detector.view())
    };
    let address = |id: &String| peers.iter().find(|p| &p.id == id).map(|peer| peer.addr);
    match own {
        Some(own) if highest > own => address(&peer?),
        Some(_) => None,
        None => {
            let peer = peer
                .as_ref()
                .and_then(address)
                .or(peers.first().map(|peer| peer.addr));
            let seed = shared.settings.peers.seeds.first().copied();
            peer.or(seed)
        }
    }
}

/// Fetches missing changes or a snapshot from a peer and applies them. Returns whether that
/// succeeded and the version here rose.
async fn pull(shared: &Arc<Shared>, peer: SocketAddr) -> bool {
    let since = shared.config.version().unwrap_or(0);
    let pulled = tokio::time::timeout(PULL_TIMEOUT, async {
        let mut link = shared.links.checkout(peer).await.ok()?;
        link.send(&Frame::ConfigPull { since }).await.ok()?;
        let frame = link.recv().await.ok()??;
        shared.links.checkin(link);
        Some(frame)
    });
    match pulled.await {
        Ok(Some(Frame::ConfigPush { changes, snapshot })) => {
            let before = shared.config.version();
            if let Some(snapshot) = snapshot {
                shared.metrics.received(Traffic::Config, snapshot.len());
                apply_snapshot(shared, &snapshot);
            }
            for change in changes {
                shared
                    .metrics
                    .received(Traffic::Config, change.change.len());
                match serde_json::from_slice::<Change>(&change.change) {
                    Ok(parsed) => drop(apply(shared, change.version, &parsed)),
                    Err(error) => {
                        return log_invalid(&format!("version {}: {error}", change.version));
                    }
                }
            }
            publish_version(shared, before);
            shared.config.version() > before
        }
        _ => false,
    }
}

fn apply_snapshot(shared: &Shared, snapshot: &[u8]) {
    match serde_json::from_slice::<FleetConfig>(snapshot) {
        Ok(config) => drop(shared.config.replace(config)),
        Err(error) => drop(log_invalid(&format!("snapshot: {error}"))),
    }
}

/// Logs an invalid configuration and returns `false`.
fn log_invalid(detail: &str) -> bool {
    event::log(Event::ConfigInvalid, detail);
    false
}

/// Applies one change. If it was the next one, it is kept for peers that are behind.
pub(crate) fn apply(shared: &Shared, version: Version, change: &Change) -> ApplyOutcome {
    let applied = shared.config.apply(version, change);
    if applied == ApplyOutcome::Applied {
        shared.recent_changes.push(version, change);
    }
    applied
}

/// Fetches missing changes or a snapshot from the platform and applies them.
async fn poll(shared: &Arc<Shared>) {
    let before = shared.config.version();
    let result = match before {
        None => shared.config_log.load().await.map(ConfigUpdates::Snapshot),
        Some(version) => shared.config_log.updates_since(version).await,
    };
    match result {
        Ok(updates) => {
            shared.platform_answered();
            match updates {
                ConfigUpdates::Changes(entries) => {
                    for entry in entries {
                        apply(shared, entry.version, &entry.change);
                    }
                }
                ConfigUpdates::Snapshot(config) => drop(shared.config.replace(config)),
            }
            publish_version(shared, before);
        }
        Err(error) => {
            shared.platform_failed(&error.to_string());
            if !matches!(error, sequoiaridge_store::ConfigError::Table(_)) {
                log_invalid(&error.to_string());
            }
        }
    }
}

/// Publishes a change of the version in force through gossip, metrics and log. The first
/// configuration makes the router ready.
pub(crate) fn publish_version(shared: &Shared, before: Option<Version>) {
    let Some(version) = shared.config.version() else {
        return;
    };
    if before == Some(version) {
        return;
    }
    lock(&shared.detector).set_version(version);
    shared.metrics.version.set(version as i64);
    event::log(Event::ConfigApplied, &format!("version {version}"));
    if shared.advance(Phase::Serving) {
        event::log(Event::RouterReady, "");
    }
}

/// Sends a notice of a version that was just accepted here to all routers.
pub(crate) async fn announce(shared: &Shared, version: Version) {
    gossip::broadcast(shared, Message::config_notice(version)).await;
}

/// Returns the answer to a peer that has all changes up to `since`: the later changes, or a
/// snapshot if the peer has no configuration (`since` is 0) or the changes are no longer kept.
pub(crate) fn config_push(shared: &Shared, since: Version) -> Frame {
    let current = shared.config.current();
    let changes = if since == 0 {
        None
    } else {
        shared.recent_changes.since(since)
    };
    match (current, changes) {
        (Some(config), None) if config.version > since || since == 0 => {
            let snapshot = serde_json::to_vec(config.as_ref()).ok().map(Bytes::from);
            Frame::ConfigPush {
                changes: Vec::new(),
                snapshot,
            }
        }
        (_, changes) => Frame::ConfigPush {
            changes: changes.unwrap_or_default(),
            snapshot: None,
        },
    }
}
