//! Incarnations of upstreams.

crate::id::text::text_id! {
    /// Name of one start of an upstream; a restart has another.
    Upstream
}
