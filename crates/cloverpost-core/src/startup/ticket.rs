//! Identification of a waiting request.

crate::number::counter! {
    /// Identifies a waiting request on its VM, in order of arrival.
    Ticket
}
