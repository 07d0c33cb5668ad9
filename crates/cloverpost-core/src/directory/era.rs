//! Eras of the store.

crate::number::number! {
    /// Number of the copy from which the store last came back; 0 if the store does not state it.
    ///
    /// What the store acknowledged after the copy was made is lost, and the versions of those
    /// writes are assigned again in the next era.
    Era
}
