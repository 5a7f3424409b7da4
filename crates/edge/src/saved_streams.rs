//! Saves the versions that began this router's streams, and restores those of all routers.

use crate::registry::{Registry, Saved, Table};
use crate::shared::{Shared, is_later_era};
use crate::stream_saves::{StreamSaves, decode_streams, encode_streams};
use crate::stream_versions::OriginSource;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether the row may be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Restores the streams that the routers saved. Returns what this router's own row has.
pub(crate) fn restore_streams(shared: &Shared, saved: &[(Saved, Vec<u8>)]) -> StreamSaves {
    let (now, wall) = (shared.now(), shared.clock.wall());
    let mut saves = StreamSaves::new();
    let (mut rows, mut malformed) = (0, 0);
    let window = shared.lock_state().streams.window();
    for (saved, bytes) in saved {
        let Saved::Streams(router) = saved else {
            continue;
        };
        rows += 1;
        let Ok(origins) = decode_streams(bytes, window, wall) else {
            malformed += 1;
            continue;
        };
        // Many rows of a large fleet must not keep requests from the lock.
        let mut state = shared.lock_state();
        state.streams.merge_from(&origins, OriginSource::Saved, now);
        drop(state);
        if *router == shared.settings.id {
            saves.restore(&origins, window, now);
        }
    }
    let streams = shared.lock_state().streams.len();
    if rows > 0 {
        let detail = format!("rows={rows} malformed={malformed} streams={streams}");
        log(Event::StreamsRestored, &detail);
    }
    saves
}

/// Saves which versions began the streams of this router, while any service has several, so that they
/// can be taken up after all routers lost power.
pub(crate) async fn save_streams(
    shared: Arc<Shared>,
    registry: Arc<dyn Registry>,
    mut saves: StreamSaves,
) {
    let mut era = shared.watch_era();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        if is_later_era(&mut era) {
            saves.forget_saved();
        }
        let (row, savers) = {
            let state = shared.lock_state();
            let is_mixed = state.versions.has_mixed(now);
            let is_large = state.is_large();
            // In a large fleet, the routers that hold streams for the others save them.
            if is_large && is_mixed && !state.keeps_streams {
                continue;
            }
            let savers = if is_large {
                state.stream_keepers
            } else {
                state.routers()
            };
            if !saves.is_due(is_mixed, savers, now, &mut rand::rng()) {
                continue;
            }
            let streams = state.streams.to_save(is_large, now);
            (saves.next_row(streams, now), savers)
        };
        let Some(row) = row else {
            continue;
        };
        let outcome = match encode_streams(&row, shared.clock.wall()) {
            Ok(bytes) => {
                let saved = Saved::Streams(shared.settings.id.clone());
                let outcome = registry.save(saved, bytes).await;
                let answered = outcome.is_ok();
                shared.metrics.registry_call(Table::Routers, answered);
                outcome.map_err(|error| error.to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        // The next save makes up for one that failed.
        let written = outcome.as_ref().ok().map(|()| row.as_slice());
        let now = shared.now();
        saves.record_save(written, savers, now, &mut rand::rng());
        match outcome {
            Ok(()) => {
                let streams = i64::try_from(row.len()).unwrap_or(i64::MAX);
                shared.metrics.saved_streams.set(streams);
            }
            Err(error) => log(
                Event::StreamsNotSaved,
                &format!("streams={} {error}", row.len()),
            ),
        }
    }
}
