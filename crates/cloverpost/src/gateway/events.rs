//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Size limit of an event; a larger one fails the stream.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into complete events and tracks the id of the last one.
///
/// An upstream may stop in the middle of an event. A forwarded partial event would be
/// joined with the first bytes from the next upstream, so only complete events are
/// returned.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Length of the part of `pending` without an empty line, which is not scanned again.
    scanned: usize,
    last_id: Option<String>,
    count: u32,
}

/// Error: an event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Splitter {
    /// Appends `bytes` and returns the events that they complete; empty if none.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLarge> {
        self.pending.extend_from_slice(bytes);
        let end = self.end_of_last_event();
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        let events = self.pending.split_to(end).freeze();
        self.scanned -= end;
        self.count += count_ids(&events);
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Number of complete events with an id so far.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Length of the buffered partial event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether a partial event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards a buffered partial event before the stream resumes on another upstream.
    pub fn discard_partial(&mut self) {
        // Also releases the memory.
        self.pending = BytesMut::new();
        self.scanned = 0;
    }

    /// Offset after the last empty line, which ends an event. Scans only new bytes: an event of a
    /// megabyte may arrive in some ten thousand pieces.
    fn end_of_last_event(&mut self) -> usize {
        let bytes = &self.pending[..];
        let mut end = 0;
        let new = bytes.iter().enumerate().skip(self.scanned);
        for (offset, _) in new.filter(|(_, byte)| **byte == b'\n') {
            let line = bytes[..offset].strip_suffix(b"\r");
            let line = line.unwrap_or(&bytes[..offset]);
            if line.is_empty() || line.ends_with(b"\n") {
                end = offset + 1;
            }
        }
        self.scanned = bytes.len();
        end
    }
}

/// Number of events with an id; those without are keep-alive comments.
fn count_ids(events: &[u8]) -> u32 {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter(|line| line.starts_with(b"id:")).count();
    u32::try_from(ids).unwrap_or(u32::MAX)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
