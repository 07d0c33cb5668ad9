//! Conditions of writes.

/// The condition under which a write of a row takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Precondition {
    /// No row exists.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Precondition {
    /// Expected version of the row after a write under this condition.
    ///
    /// A table may skip numbers. A later write under a wrong version conflicts, and
    /// the row is read back.
    #[must_use]
    pub const fn next_version(self) -> u64 {
        match self {
            Self::Absent => 1,
            Self::Version(version) => version + 1,
        }
    }
}
