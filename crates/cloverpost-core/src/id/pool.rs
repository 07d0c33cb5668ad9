//! Pools of upstreams.

crate::id::text::text_id! {
    /// Name of a pool, a group of upstreams that serve the same entries.
    Pool
}
