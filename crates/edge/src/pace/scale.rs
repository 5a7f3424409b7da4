//! How a pace is written in a message. A router sends up to 88 entries in a datagram of 1,200 bytes, so
//! that a pace and its age take one byte each.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Levels by which a pace doubles; a step is 4.4 %.
const LEVELS_PER_DOUBLING: f64 = 16.0;
/// The largest level, 2 to the power of 7 times the smallest pace.
const MAX_LEVEL: f64 = 112.0;
/// The smallest pace on the scale.
const MIN_PACE: f64 = 0.25;
/// Set if the endpoint itself reported the pace.
const FIGURE_BIT: u8 = 128;
/// Unit of the age of a pace.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// The pace of an endpoint in a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceEntry {
    /// Level on the logarithmic scale, from 1; 0 if the pace is not known. The highest bit is set if the
    /// endpoint reported it.
    pub level: u8,
    /// Age in units of 20 ms.
    pub age: u8,
}

impl PaceEntry {
    /// Writes a pace that is `age` old, unless it is too old to be written.
    pub(super) fn write(pace: f64, is_figure: bool, age: Duration) -> PaceEntry {
        let Ok(age) = u8::try_from(age.as_millis() / AGE_UNIT.as_millis()) else {
            return PaceEntry::default();
        };
        let level = (pace.max(MIN_PACE) / MIN_PACE).log2() * LEVELS_PER_DOUBLING;
        let level = 1 + level.round().clamp(0.0, MAX_LEVEL) as u8;
        let bit = if is_figure { FIGURE_BIT } else { 0 };
        PaceEntry {
            level: level | bit,
            age,
        }
    }

    /// Reads the pace, whether the endpoint reported it, and its age. `None` if the entry holds none.
    pub(super) fn read(self) -> Option<(f64, bool, Duration)> {
        let level = (self.level & !FIGURE_BIT).checked_sub(1)?;
        let doublings = f64::from(level).min(MAX_LEVEL) / LEVELS_PER_DOUBLING;
        let is_figure = self.level & FIGURE_BIT != 0;
        let pace = MIN_PACE * doublings.exp2();
        Some((pace, is_figure, AGE_UNIT * u32::from(self.age)))
    }
}
