//! Outcome of a response as rollout evidence.

/// Outcome of a response, or of a span of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete and in time.
    Good,
    /// Complete, but slow compared with the previous version.
    Slow,
    /// The upstream responded with a failure, or aborted its response while it stayed reachable.
    Failed,
    /// Timed out or lost with its connection. Overload, a lack of connection capacity and an
    /// infrastructure failure have the same effect as a faulty version.
    Unanswered,
}

impl Outcome {
    /// Whether the response counts as good in the comparison of all responses.
    #[must_use]
    pub const fn is_good(self) -> bool {
        matches!(self, Self::Good)
    }

    /// Whether the response passes the comparison of failures; `None` if it is no evidence there.
    ///
    /// Only the first attempt of a request is. A request that fails on every version is often sent
    /// again to the same version, so its failures are not independent.
    #[must_use]
    pub const fn succeeded(self, is_first_attempt: bool) -> Option<bool> {
        if !is_first_attempt {
            return None;
        }
        match self {
            Self::Good | Self::Slow => Some(true),
            Self::Failed => Some(false),
            Self::Unanswered => None,
        }
    }
}
