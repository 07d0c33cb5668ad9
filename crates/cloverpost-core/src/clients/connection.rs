//! Identification of a client's connection.

crate::number::counter! {
    /// Identifies a connection on its VM, in order of arrival.
    Connection
}
