//! Sequence numbers of records, segments, streams and runs.

crate::number::counter! {
    /// Number of a segment within its account, without gaps.
    Number
}

crate::number::counter! {
    /// Sequence number of a record within one run of a VM.
    Sequence
}

crate::number::counter! {
    /// Identifies a VM's stream of copies to a peer. A holder without copies gets a
    /// new stream, so that a delayed acknowledgement from before its restart does
    /// not count for copies that it has lost.
    Stream
}

crate::number::counter! {
    /// Random identifier of a VM's process. A restarted process numbers its records
    /// from zero again; the run distinguishes them from those of the earlier
    /// process.
    Run
}
