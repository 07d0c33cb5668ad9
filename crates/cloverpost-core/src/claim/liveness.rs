//! Liveness of claimants.

/// Liveness of a claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// It is running, or not known to have failed.
    Alive,
    /// It is considered dead. A false suspicion is safe: no other process runs the
    /// claimed request again, and the claimant can still settle the claim.
    Dead,
}
