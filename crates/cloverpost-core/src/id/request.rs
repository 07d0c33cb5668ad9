//! Identifiers of requests.

crate::id::text::random_id! {
    /// Identifies a caller's request across retries and VMs.
    Request
}
