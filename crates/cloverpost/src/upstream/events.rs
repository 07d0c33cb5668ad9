//! Server-sent events of a streamed response.

use bytes::Bytes;
use cloverpost_core::dispatch::Failure;
use eventsource_stream::{EventStream, Eventsource};
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;

/// Data of the event that ends a complete stream.
const END_MARKER: &str = "[DONE]";

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A chunk of the response.
    Chunk(serde_json::Value),
    /// The end marker.
    End,
}

impl Event {
    /// Encodes the event as a server-sent event.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        match self {
            Self::Chunk(chunk) => Bytes::from(format!("data: {chunk}\n\n")),
            Self::End => Bytes::from(format!("data: {END_MARKER}\n\n")),
        }
    }
}

/// Reads the events of one response.
pub struct Events {
    stream: EventStream<BodyDataStream<Incoming>>,
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Events(..)")
    }
}

impl Events {
    /// Creates a reader of the events in `body`.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            stream: body.into_data_stream().eventsource(),
        }
    }

    /// Reads the next event.
    ///
    /// Fails with [`Failure::Truncated`] if the stream ends without its end marker, so that a
    /// truncated response is not taken for a complete one.
    pub async fn next(&mut self) -> Result<Event, Failure> {
        let event = match self.stream.next().await {
            None => return Err(Failure::Truncated),
            Some(Err(eventsource_stream::EventStreamError::Transport(_))) => {
                return Err(Failure::Truncated);
            }
            Some(Err(_)) => return Err(Failure::Malformed),
            Some(Ok(event)) => event,
        };
        if event.data == END_MARKER {
            return Ok(Event::End);
        }
        let chunk = serde_json::from_str(&event.data).map_err(|_| Failure::Malformed)?;
        Ok(Event::Chunk(chunk))
    }
}
