//! Rating counts.

/// Passed and failed ratings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Answers that passed.
    pub passes: u64,
    /// Answers that failed.
    pub fails: u64,
}

impl Counts {
    /// Counts of a single rating.
    #[must_use]
    pub const fn single(passed: bool) -> Self {
        Self {
            passes: passed as u64,
            fails: !passed as u64,
        }
    }

    /// Total number of ratings.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.passes.saturating_add(self.fails)
    }

    /// Element-wise sum, saturating.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            passes: self.passes.saturating_add(other.passes),
            fails: self.fails.saturating_add(other.fails),
        }
    }

    /// Element-wise increase over `earlier`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, earlier: Self) -> Self {
        Self {
            passes: self.passes.saturating_sub(earlier.passes),
            fails: self.fails.saturating_sub(earlier.fails),
        }
    }

    /// Element-wise maximum.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            passes: self.passes.max(other.passes),
            fails: self.fails.max(other.fails),
        }
    }
}
