//! Memory that the head of a request takes.

use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::clients::Stage;
use cloverpost_core::refusal::{Code, Refusal};

use crate::gateway::buffers::{Buffers, Reservation};
use crate::gateway::clients::Client;
use crate::gateway::codec::{PromptPart, RequestHead};
use crate::gateway::upload::SMALL_BYTES;

/// Memory of a field, apart from its text: entries in the tables of headers that are received, kept
/// for each attempt and sent, each of which may be half empty.
const FIELD_BYTES: usize = 512;
/// Memory of a request beside its head and body: its task and its connection to an upstream.
const REQUEST_BYTES: usize = 32 * 1024;
/// Copies of the text of a head.
const TEXT_COPIES: usize = 3;
/// Copies of the parts of a prompt.
const PART_COPIES: usize = 3;

/// No memory is free for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

impl From<NoMemory> for Refusal {
    fn from(_: NoMemory) -> Self {
        Self::not_run(Code::Overloaded, "no memory is free for the request")
    }
}

/// Memory that a request takes beside its body, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint(usize);

impl Footprint {
    /// The footprint of a request with `head`, decoded as `request_head`.
    #[must_use]
    pub fn of(head: &http::request::Parts, request_head: &RequestHead) -> Self {
        let fields = head.headers.iter();
        let text: usize = fields
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let path = head
            .uri
            .path_and_query()
            .map_or(0, |path| path.as_str().len());
        let parts = request_head.prompt.len() * size_of::<PromptPart>();
        let fields = head.headers.len() * FIELD_BYTES;
        Self(REQUEST_BYTES + (text + path) * TEXT_COPIES + fields + parts * PART_COPIES)
    }

    /// The part of it that counts with the connection.
    #[must_use]
    pub fn counted_bytes(self) -> u64 {
        self.0.min(REQUEST_BYTES + SMALL_BYTES) as u64
    }

    /// Counts the small part with the connection of `client`, and reserves the rest of `memory` if
    /// there is one.
    pub fn reserve(
        self,
        client: &Client,
        memory: &Buffers,
    ) -> Result<Option<Arc<Reservation>>, NoMemory> {
        if !client.begin(Stage::Busy, self.counted_bytes()) {
            return Err(NoMemory);
        }
        let rest = self.0.saturating_sub(REQUEST_BYTES + SMALL_BYTES);
        if rest == 0 {
            return Ok(None);
        }
        let reservation = memory.try_reserve(rest).ok_or(NoMemory)?;
        Ok(Some(Arc::new(reservation)))
    }
}

/// The part of a received body that counts with its connection. A large body has memory of its own.
#[must_use]
pub fn counted_body_bytes(body: &Bytes) -> u64 {
    if body.len() > SMALL_BYTES {
        return 0;
    }
    body.len() as u64
}
