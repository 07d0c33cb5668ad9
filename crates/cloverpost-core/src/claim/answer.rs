//! Stored answers, replayed to repeated requests.

use bytes::Bytes;

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Where the body of a stored answer is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// In the row.
    Inline(Bytes),
    /// In the object with this name.
    Object(String),
    /// Dropped because the memory for unsaved bodies ran out during an outage. It
    /// is still known that the request ran.
    Dropped,
}

/// An upstream's answer, stored in the row of the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to replay.
    pub headers: Vec<Header>,
    /// Location of the body.
    pub body: Body,
}
