//! How charged work ended.

use std::fmt;

/// How charged work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The upstream sent the end marker; the answer is complete.
    Whole,
    /// The upstream failed during the answer; what reached the caller is charged.
    Cut,
    /// The caller disconnected; what the upstream had generated is charged.
    Cancelled,
    /// A step of a cascade whose answer was rated too low and replaced.
    Step,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "whole",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
            Self::Step => "step",
        })
    }
}
