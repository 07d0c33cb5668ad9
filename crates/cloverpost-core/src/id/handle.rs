//! Identifiers of lease handles.

crate::id::text::random_id! {
    /// Identifies a handle to a lease, also among handles of the same process.
    Handle
}
