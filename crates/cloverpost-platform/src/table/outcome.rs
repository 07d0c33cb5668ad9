//! Transaction outcomes.

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// All writes were applied.
    Written,
    /// A condition failed, and nothing was written.
    Conflict,
}
