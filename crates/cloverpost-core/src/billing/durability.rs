//! Durability of a record when the end of its answer is released.

/// Durability of a record when the end of its answer is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Durability {
    /// The record is in the store.
    Stored,
    /// This number of peers hold a copy.
    Replicated(usize),
    /// The record is only in the memory of this VM: neither a peer nor the store
    /// answered in time.
    Unprotected,
}
