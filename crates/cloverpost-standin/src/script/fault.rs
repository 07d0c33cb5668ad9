//! Faults of single requests.

use std::time::Duration;

use crate::script::{Point, millis};

/// A fault to inject into a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Closes the connection.
    #[serde(rename = "cut")]
    CloseConnection {
        /// Point at which the fault is triggered.
        at: Point,
    },
    /// Ends the body early, as a valid HTTP body.
    EndEarly {
        /// Point at which the fault is triggered.
        at: Point,
    },
    /// Sends nothing more until the caller disconnects.
    Stall {
        /// Point at which the fault is triggered.
        at: Point,
    },
    /// Pauses and then continues.
    #[serde(rename = "late")]
    Delay {
        /// Point at which the fault is triggered.
        at: Point,
        /// Length of the pause, in milliseconds.
        #[serde(rename = "by_ms", with = "millis")]
        duration: Duration,
    },
    /// Rejects the request without running it.
    #[serde(rename = "refuse")]
    Reject {
        /// HTTP status of the response.
        status: u16,
        /// Whether the response states that the request did not start.
        not_started: bool,
    },
    /// Replaces the middle chunk of the response by one that is not valid JSON.
    #[serde(rename = "garble")]
    MalformedChunk,
    /// Responds with the ID and the content of another request.
    #[serde(rename = "cross")]
    OtherResponse,
    /// Sends the middle chunk of the response twice.
    #[serde(rename = "double_piece")]
    DuplicateChunk,
    /// Sends the whole response twice.
    #[serde(rename = "double_answer")]
    DuplicateResponse,
    /// Simulates a crash: closes all connections and refuses new ones.
    Crash {
        /// Point at which the fault is triggered.
        at: Point,
        /// Time for which new connections are refused, in milliseconds.
        #[serde(rename = "down_ms", with = "millis")]
        downtime: Duration,
    },
}

impl Fault {
    /// Returns the point at which the fault is triggered, if it has one.
    #[must_use]
    pub const fn point(&self) -> Option<Point> {
        match self {
            Self::CloseConnection { at }
            | Self::EndEarly { at }
            | Self::Stall { at }
            | Self::Delay { at, .. }
            | Self::Crash { at, .. } => Some(*at),
            _ => None,
        }
    }

    /// Returns whether the fault ends the response.
    #[must_use]
    pub const fn ends_response(&self) -> bool {
        matches!(
            self,
            Self::CloseConnection { .. } | Self::EndEarly { .. } | Self::Crash { .. }
        )
    }
}
