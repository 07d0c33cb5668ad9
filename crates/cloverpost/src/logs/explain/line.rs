//! One line of a log.

use std::cmp::Ordering;

use serde_json::{Map, Value};

/// Fields that every line has or that say where it comes from.
const USUAL: [&str; 5] = ["id", "level", "message", "target", "time"];

/// A line that a VM wrote.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When, as the line says it.
    pub at: String,
    /// VM that wrote it.
    pub vm: String,
    /// Seconds, if the time is a number.
    seconds: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line: a JSON object, or one after a time and a VM's name, as collectors
    /// put them. `vm` wrote it if it does not say; `None` for what is no such line.
    #[must_use]
    pub fn parse(text: &str, vm: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let mut before = text[..start].split_whitespace();
        let (at, vm) = match (before.next(), before.next()) {
            (Some(at), Some(vm)) => (at, vm),
            _ => (fields.get("time")?.as_str()?, vm),
        };
        Some(Self {
            at: at.to_owned(),
            seconds: at.parse().unwrap_or_default(),
            vm: vm.to_owned(),
            fields,
        })
    }

    /// Whether it comes before `other`, of the same collection. Times that are no
    /// numbers are of RFC 3339, whose text has their order.
    #[must_use]
    pub fn order(&self, other: &Self) -> Ordering {
        let seconds = self.seconds.total_cmp(&other.seconds);
        seconds.then_with(|| self.at.cmp(&other.at))
    }

    /// What it tells.
    #[must_use]
    pub fn message(&self) -> &str {
        self.text("message")
    }

    /// A field's text, empty if there is none.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// All that is special to this line, as `name=value`.
    #[must_use]
    pub fn details(&self) -> String {
        let special = self
            .fields
            .iter()
            .filter(|(name, _)| !USUAL.contains(&name.as_str()));
        let told = special.filter(|(_, value)| value.as_str() != Some(""));
        let pairs = told.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}
