//! Liveness of other claimants.

use cloverpost_core::claim::{self, Claimant};

/// Reports the liveness of claimants.
///
/// [`claim::Liveness::Dead`] may be wrong, for example about a paused process: a claimed
/// request is never run again because of it, but callers are told that its outcome is
/// unknown.
pub trait Liveness: Clone + Send + Sync + 'static {
    /// Returns the liveness of `claimant`.
    fn liveness(&self, claimant: &Claimant) -> claim::Liveness;
}

impl<F> Liveness for F
where
    F: Fn(&Claimant) -> claim::Liveness + Clone + Send + Sync + 'static,
{
    fn liveness(&self, claimant: &Claimant) -> claim::Liveness {
        self(claimant)
    }
}
