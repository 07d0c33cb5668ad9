//! Properties of requests that may be the cause of crashes.

use std::fmt;

use crate::poison::{Fingerprint, Part};

/// A property of requests that may be the cause of crashes.
///
/// Features are ordered from the narrow ones, which few requests have, to the wide ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Feature {
    /// One request and its copies.
    Request(Fingerprint),
    /// A part of the prompt, of whichever request.
    Part(Part),
}

impl From<Fingerprint> for Feature {
    fn from(fingerprint: Fingerprint) -> Self {
        Self::Request(fingerprint)
    }
}

impl From<Part> for Feature {
    fn from(part: Part) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "fingerprint {fingerprint}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}
