//! Processes of a VM.

crate::number::counter! {
    /// Distinguishes successive processes on the same VM; incremented at each start.
    Process
}
