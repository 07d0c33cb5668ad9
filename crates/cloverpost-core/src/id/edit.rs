//! Identifiers of catalogue edits.

crate::id::text::random_id! {
    /// Identifies one attempt to edit, so that reading back shows which write won.
    Edit
}
