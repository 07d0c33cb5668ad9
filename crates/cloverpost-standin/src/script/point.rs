//! Points at which faults are triggered.

/// A point in the handling of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// The request was read and has not started.
    BeforeStart,
    /// Nothing of the response was sent. A call without streaming has run.
    BeforeHeaders,
    /// Only the status and the headers were sent.
    AfterHeaders,
    /// This number of chunks was sent: tokens of a stream, or halves of any other body. A count
    /// beyond the last chunk means the last chunk.
    #[serde(rename = "after_pieces")]
    AfterChunks(usize),
    /// Everything was sent but the last chunk: `[DONE]` of a stream, or the last byte of any other
    /// body.
    BeforeEnd,
}
