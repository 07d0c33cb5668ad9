//! What follows the end of an attempt.

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Something else is in progress for the request.
    Wait,
    /// Nothing is: the request is sent again, or refused.
    Retry,
}
