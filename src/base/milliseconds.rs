//! Serde form of a [`Duration`]: whole milliseconds, in fields whose name
//! ends in `_ms`.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;

/// Writes a duration as whole milliseconds.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.as_millis() as u64)
}

/// Reads a duration from whole milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
