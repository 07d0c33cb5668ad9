//! Incarnation numbers.

crate::number::counter! {
    /// Number that only the VM itself increments, to refute reports about it.
    Incarnation
}
