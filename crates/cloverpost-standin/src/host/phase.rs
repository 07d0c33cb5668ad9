//! Lifecycle phases.

/// Lifecycle phase of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It accepts requests.
    #[default]
    Serving,
    /// It accepts requests, and its load report announces the shutdown.
    Leaving,
    /// It rejects new requests and shuts its connections down gracefully (GOAWAY).
    Refusing,
}
