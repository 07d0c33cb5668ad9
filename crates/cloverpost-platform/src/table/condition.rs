//! Write conditions.

/// Precondition of a write on the current row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}
