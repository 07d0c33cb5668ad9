//! Classes of work.

crate::id::text::text_id! {
    /// Name of a class of work.
    Class
}
