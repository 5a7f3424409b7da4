//! Serde functions for durations that configuration files give as a number of seconds.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

/// Writes a duration as seconds.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(value.as_secs_f64())
}

/// Reads a duration from seconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::try_from_secs_f64(f64::deserialize(deserializer)?).map_err(D::Error::custom)
}
