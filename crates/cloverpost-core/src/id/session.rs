//! Identifiers of sessions.

crate::id::text::random_id! {
    /// Identifies a caller's session.
    Session
}
