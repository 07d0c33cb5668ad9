//! Retry policy of plain services.

/// Which calls of a plain service are idempotent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Service {
    /// `GET` and `HEAD` may be retried; all other calls run at most once.
    #[default]
    SafeMethods,
    /// All calls may be retried.
    Idempotent,
    /// No call may be retried.
    AtMostOnce,
}

impl Service {
    /// Whether a call with HTTP `method` may be retried.
    #[must_use]
    pub fn may_repeat(self, method: &str) -> bool {
        match self {
            Self::SafeMethods => matches!(method, "GET" | "HEAD"),
            Self::Idempotent => true,
            Self::AtMostOnce => false,
        }
    }
}
