//! Serde representation of a [`Duration`] as an integer of milliseconds, for
//! fields whose outer name ends in `_ms`.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;

/// Serializes a duration as whole milliseconds, rounded down.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(duration.as_millis() as u64)
}

/// Deserializes a duration from whole milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
