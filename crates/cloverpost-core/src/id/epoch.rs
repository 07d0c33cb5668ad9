//! Epochs of the roster.

crate::number::counter! {
    /// Number of a roster; 0 precedes the first.
    Epoch
}
