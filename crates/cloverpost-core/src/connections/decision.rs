//! What to do for a request without a connection.

/// What to do for a request without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Open a connection.
    Open,
    /// Close the oldest idle connection, and wait until that is done.
    CloseIdle,
    /// Wait for a connection.
    Wait,
}
