//! Durations as whole milliseconds in JSON.

use std::time::Duration;

use serde::Deserialize;

pub fn serialize<S: serde::Serializer>(value: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

pub fn deserialize<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}
