//! States of runs.

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request is running.
    Started,
    /// The request ran to completion.
    Finished,
    /// The caller disconnected before the end.
    Cancelled,
    /// An injected fault ended the run.
    Failed,
}
