//! Lifecycle states of entries.

/// Lifecycle state of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests and new sessions.
    #[default]
    Serving,
    /// Accepts only requests of existing sessions.
    Draining,
    /// Accepts no requests.
    Withdrawn,
}

impl State {
    /// Whether a request without a session may start.
    #[must_use]
    pub const fn accepts_new_requests(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Whether a request of an existing session may start.
    #[must_use]
    pub const fn takes_session(self) -> bool {
        matches!(self, Self::Serving | Self::Draining)
    }
}
