//! Kinds of entries.

/// Type of upstream that serves an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines; the entry is a model or one of its versions.
    #[default]
    Model,
    /// Plain services, called under `/service/{entry}/`.
    Service,
}
