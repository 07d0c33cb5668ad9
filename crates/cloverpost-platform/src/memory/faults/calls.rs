//! Call counters.

/// Number of calls since creation, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Calls without side effects.
    pub reads: u64,
    /// Calls that may have side effects.
    pub writes: u64,
}
