//! Parsing of log lines.

use std::cmp::Ordering;

use serde_json::{Map, Value};

/// Fields that [`Line::details`] omits.
const COMMON_FIELDS: [&str; 5] = ["id", "level", "message", "target", "time"];

/// A log line written by a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Timestamp, as written in the line.
    pub timestamp: String,
    /// VM that wrote the line.
    pub vm: String,
    /// Timestamp in seconds if it is a number, otherwise 0.
    seconds: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a JSON object, optionally prefixed with a timestamp and a VM name as log
    /// collectors add them. Without a prefix the line is attributed to `vm`. Returns
    /// `None` for any other text.
    #[must_use]
    pub fn parse(text: &str, vm: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let mut prefix = text[..start].split_whitespace();
        let (timestamp, vm) = match (prefix.next(), prefix.next()) {
            (Some(timestamp), Some(vm)) => (timestamp, vm),
            _ => (fields.get("time")?.as_str()?, vm),
        };
        Some(Self {
            timestamp: timestamp.to_owned(),
            seconds: timestamp.parse().unwrap_or_default(),
            vm: vm.to_owned(),
            fields,
        })
    }

    /// Compares by timestamp with a line of the same collection. RFC 3339 timestamps
    /// sort as text.
    #[must_use]
    pub fn cmp_time(&self, other: &Self) -> Ordering {
        let seconds = self.seconds.total_cmp(&other.seconds);
        seconds.then_with(|| self.timestamp.cmp(&other.timestamp))
    }

    /// The `message` field, empty if absent.
    #[must_use]
    pub fn message(&self) -> &str {
        self.text("message")
    }

    /// The value of a string field, empty if absent or not a string.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The remaining non-empty fields, as `name=value`.
    #[must_use]
    pub fn details(&self) -> String {
        let specific = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let present = specific.filter(|(_, value)| value.as_str() != Some(""));
        let pairs = present.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}
