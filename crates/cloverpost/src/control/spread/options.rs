//! Settings of the catalogue propagation task.

use cloverpost_core::spread;

use crate::clock;

/// Settings of a [`Task`](crate::control::spread::Task).
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM.
    pub local: spread::Member,
    /// Settings of catalogue propagation.
    pub spread: spread::Options,
    /// Clock of the VM, by which the request path checks the validity of
    /// [`crate::control::spread::Current`].
    pub clock: clock::Clock,
    /// Seed of the random number generator that selects peers and jitter.
    pub seed: u64,
}
