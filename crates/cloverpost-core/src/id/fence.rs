//! Fencing tokens.

crate::number::counter! {
    /// Incremented each time the holder of a lease changes; lower tokens are stale.
    Fence
}
