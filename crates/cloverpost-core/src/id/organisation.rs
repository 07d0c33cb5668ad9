//! Organisations, the customers of the router.

crate::id::text::text_id! {
    /// Name of an organisation.
    Organisation
}
