//! Versions of a model.

crate::id::text::text_id! {
    /// Name of one version of a model.
    Version
}
