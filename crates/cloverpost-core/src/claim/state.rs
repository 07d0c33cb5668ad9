//! States of claims.

use crate::claim;

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum State {
    /// The claimant may have dispatched it.
    Running,
    /// It ran and returned this answer.
    Done(claim::Answer),
    /// It may have run, and its answer is not known.
    Unknown,
    /// It did not run; the key can be claimed again.
    Released,
}
