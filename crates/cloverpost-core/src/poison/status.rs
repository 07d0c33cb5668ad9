//! Quarantine status of a request.

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// No live evidence.
    Clear,
    /// Fewer crashes than the threshold; may run, but not beside other marked requests.
    Marked,
    /// As many crashes as the threshold; must not run.
    Quarantined,
}
