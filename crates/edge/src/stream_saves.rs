//! The streams that a router saves in the registry while a service has several software versions.
//!
//! Each router writes a row of its own with the versions that began its streams, so that a stream can
//! be taken up after all routers lost power. See "Versions of endpoints' software" in
//! docs/platform.md.

use crate::manifest::SoftwareVersion;
use crate::stream_versions::{StreamId, StreamOrigin, StreamVersions};
use crate::wall_time::{CLOCK_TOLERANCE, epoch_ms};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

/// Shortest time between two saves of one router.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two saves for each router that saves: all of them save 100 times a second at most.
const INTERVAL_PER_SAVER: Duration = Duration::from_millis(10);
/// Bytes of rows that a router writes in a second, at most.
const ROW_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;
/// By how much the time between two saves varies, as a share of it.
const INTERVAL_JITTER: f64 = 0.25;
/// Time for which streams are still saved after the last service with several versions: the other
/// routers may see its end later.
const TRAILING_TIME: Duration = Duration::from_secs(5);
/// Largest row in bytes. The registry takes 64 KiB.
const MAX_ROW_BYTES: usize = 48 * 1024;
/// Bytes of a stream in a row, at most.
const STREAM_BYTES: usize = 13;
/// Unit of the ages in a row.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// Streams as a router saves them.
#[derive(Default, Serialize, Deserialize)]
struct SavedRow {
    /// When the row was written, in ms since the epoch.
    saved_at: u64,
    versions: Vec<SoftwareVersion>,
    /// Id of each stream, the place of its version, and its age in [`AGE_UNIT`]s.
    streams: Vec<([u8; 8], u16, u16)>,
}

/// Encodes the row of a router: `origins`, the newest first, as far as they fit.
///
/// # Errors
///
/// The row cannot be encoded.
pub fn encode_streams(
    origins: &[StreamOrigin],
    wall: SystemTime,
) -> Result<Vec<u8>, postcard::Error> {
    let mut row = SavedRow {
        saved_at: epoch_ms(wall),
        ..SavedRow::default()
    };
    let mut bytes = STREAM_BYTES;
    for origin in origins {
        let known = row.versions.iter().position(|v| *v == origin.version);
        let place = known.unwrap_or(row.versions.len());
        bytes += STREAM_BYTES;
        if known.is_none() {
            bytes += STREAM_BYTES + origin.version.len();
        }
        let Some(index) = u16::try_from(place).ok().filter(|_| bytes <= MAX_ROW_BYTES) else {
            break;
        };
        if known.is_none() {
            row.versions.push(origin.version.clone());
        }
        let age = u128::from(origin.age_ms) / AGE_UNIT.as_millis();
        let age = u16::try_from(age).unwrap_or(u16::MAX);
        row.streams.push((origin.stream.to_le_bytes(), index, age));
    }
    postcard::to_allocvec(&row)
}

/// Decodes the row of a router, without the streams older than `window`. Ages are taken to be a little
/// shorter, since the clocks of routers differ.
///
/// # Errors
///
/// The row cannot be decoded.
pub fn decode_streams(
    bytes: &[u8],
    window: Duration,
    wall: SystemTime,
) -> Result<Vec<StreamOrigin>, postcard::Error> {
    let row: SavedRow = postcard::from_bytes(bytes)?;
    let elapsed = Duration::from_millis(epoch_ms(wall).saturating_sub(row.saved_at));
    let origins = row.streams.into_iter().filter_map(|(id, place, age)| {
        let age = (AGE_UNIT * u32::from(age)).saturating_add(elapsed);
        let age = age.saturating_sub(CLOCK_TOLERANCE);
        let version = row.versions.get(usize::from(place))?;
        (age < window).then(|| StreamOrigin {
            stream: StreamId::from_le_bytes(id),
            version: version.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    });
    Ok(origins.collect())
}

/// Shortest time between two saves of one of the routers that save.
fn save_interval(savers: usize) -> Duration {
    let savers = u32::try_from(savers).unwrap_or(u32::MAX);
    MIN_SAVE_INTERVAL.max(INTERVAL_PER_SAVER.saturating_mul(savers))
}

/// When one router writes its row, and what is in it.
#[derive(Clone, Debug, Default)]
pub struct StreamSaves {
    /// Streams in the row.
    saved: BTreeSet<StreamId>,
    /// Whether the row is there and not empty.
    has_row: bool,
    /// Streams of an earlier process under the same name.
    earlier: StreamVersions,
    /// Until when the streams of an earlier process may be read by routers that start.
    earlier_until: Duration,
    /// Until when streams are saved.
    active_until: Option<Duration>,
    not_before: Duration,
}

impl StreamSaves {
    /// Creates the state of a router that has no row.
    pub fn new() -> StreamSaves {
        StreamSaves::default()
    }

    /// Adds the row that an earlier process under the same name wrote. Later saves keep its streams.
    pub fn restore(&mut self, origins: &[StreamOrigin], window: Duration, now: Duration) {
        self.has_row = !origins.is_empty();
        self.earlier_until = now + window;
        self.earlier.set_window(window);
        self.earlier.merge(origins, now);
        self.saved = origins.iter().map(|origin| origin.stream).collect();
    }

    /// Records that the row may be gone.
    pub fn forget_saved(&mut self) {
        self.saved.clear();
    }

    /// Whether the row may be written now. `is_mixed` says whether any service has several versions,
    /// and `savers` is the number of routers that save.
    pub fn is_due(
        &mut self,
        is_mixed: bool,
        savers: usize,
        now: Duration,
        rng: &mut dyn Rng,
    ) -> bool {
        if is_mixed {
            if !self.is_active(now) {
                let delay = save_interval(savers).mul_f64(rng.random_range(0.0..1.0));
                self.not_before = self.not_before.max(now + delay);
            }
            self.active_until = Some(now + TRAILING_TIME);
        }
        (self.is_active(now) || self.has_row) && now >= self.not_before
    }

    /// The streams to write now; `None` if the row has them all. `own` are the streams that this router
    /// saves, the newest first. Once streams are no longer saved, the row is emptied.
    pub fn next_row(&mut self, own: Vec<StreamOrigin>, now: Duration) -> Option<Vec<StreamOrigin>> {
        if !self.is_active(now) {
            let is_outdated = self.has_row && now >= self.earlier_until;
            return is_outdated.then(Vec::new);
        }
        self.earlier.expire(now);
        let mut row = own;
        row.extend(self.earlier.recorded_since(Duration::ZERO, now));
        row.sort_by_key(|origin| origin.age_ms);
        if row
            .iter()
            .any(|origin| !self.saved.contains(&origin.stream))
        {
            return Some(row);
        }
        self.not_before = now + MIN_SAVE_INTERVAL;
        None
    }

    /// Records that a row was written, or that this failed, and when the next one may follow.
    pub fn record_save(
        &mut self,
        written: Option<&[StreamOrigin]>,
        savers: usize,
        now: Duration,
        rng: &mut dyn Rng,
    ) {
        let factor = 1.0 + rng.random_range(0.0..INTERVAL_JITTER);
        let row_bytes = written.map_or(0, |row| (row.len() * STREAM_BYTES).min(MAX_ROW_BYTES));
        let by_bytes = Duration::from_secs_f64(row_bytes as f64 / ROW_BYTES_PER_SECOND);
        let interval = save_interval(savers).max(by_bytes);
        self.not_before = now + interval.mul_f64(factor);
        if let Some(row) = written {
            self.saved = row.iter().map(|origin| origin.stream).collect();
            self.has_row = !row.is_empty();
        }
    }

    fn is_active(&self, now: Duration) -> bool {
        self.active_until.is_some_and(|until| now < until)
    }
}
