//! Runs of a VM's process.

crate::number::counter! {
    /// Random number that identifies one run of a process, drawn at its start.
    Run
}
