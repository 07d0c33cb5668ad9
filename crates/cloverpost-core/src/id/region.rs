//! Regions.

crate::id::text::text_id! {
    /// Name of a region.
    Region
}
