//! Model families.

crate::id::text::text_id! {
    /// Name of a model family, shared by its versions.
    Model
}
