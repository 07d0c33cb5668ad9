//! Names of catalogue entries.

crate::id::text::text_id! {
    /// Name of a catalogue entry.
    Entry
}
