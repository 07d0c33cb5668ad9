//! Revisions of the catalogue.

crate::number::counter! {
    /// Number of an accepted catalogue; 0 precedes the first.
    Revision
}
