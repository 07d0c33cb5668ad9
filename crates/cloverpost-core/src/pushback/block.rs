//! Why an upstream gets no request.

use std::fmt;

/// Why an upstream gets no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Block {
    /// It leaves.
    Leaving,
    /// It asked for rest.
    Resting,
}

impl Block {
    /// All reasons.
    pub const ALL: [Self; 2] = [Self::Leaving, Self::Resting];

    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Resting => "resting",
        }
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
