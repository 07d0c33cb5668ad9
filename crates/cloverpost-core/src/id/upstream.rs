//! Upstream processes.

crate::id::text::text_id! {
    /// Name of one process of an upstream; it changes when the upstream restarts.
    Upstream
}
