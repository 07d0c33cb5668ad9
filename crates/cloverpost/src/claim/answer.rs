//! Stores answers that are replayed to repeated requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::claim::{Answer, Backoff, Body, Header};
use cloverpost_platform::objects;
use http::header;
use tokio::sync;
use tokio::time;

use crate::claim::{Counters, Options, store};

/// Headers that are stored with an answer, besides those with [`ROUTER_HEADER_PREFIX`].
const REPLAYED_HEADERS: [header::HeaderName; 6] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::LOCATION,
    header::ETAG,
    header::LAST_MODIFIED,
];
/// Prefix of the router's own headers, which are stored too.
const ROUTER_HEADER_PREFIX: &str = "cloverpost-";
/// Maximum size of the stored headers in bytes, so that a row stays within its limit.
const MAX_REPLAYED_HEADER_BYTES: usize = 16 << 10;

/// Stores answers, with large bodies in the object store.
#[derive(Clone, Debug)]
pub struct Store<O> {
    objects: O,
    memory: Arc<sync::Semaphore>,
    max_inline_bytes: usize,
    call_timeout: Duration,
    counters: Counters,
}

/// An answer that is not stored yet, and its share of the memory limit.
#[derive(Debug)]
pub struct PendingAnswer {
    answer: Answer,
    _memory: Option<sync::OwnedSemaphorePermit>,
}

/// The error returned when an answer cannot be replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body was not stored.
    Lost,
    /// The object store failed or did not respond in time.
    Unavailable,
}

impl<O: objects::Objects> Store<O> {
    /// Creates a store with large bodies in `objects`.
    pub fn new(objects: O, counters: Counters, options: &Options) -> Self {
        Self {
            objects,
            memory: Arc::new(sync::Semaphore::new(options.max_pending_bytes)),
            max_inline_bytes: options.max_inline_bytes,
            call_timeout: options.call_timeout,
            counters,
        }
    }

    /// Prepares `response` to be stored. If the memory for pending answers is exhausted,
    /// as in a long outage, the body is dropped.
    pub fn prepare(&self, response: &http::Response<Bytes>) -> PendingAnswer {
        let bytes = u32::try_from(response.body().len()).unwrap_or(u32::MAX);
        let memory = Arc::clone(&self.memory).try_acquire_many_owned(bytes).ok();
        let body = if memory.is_some() {
            Body::Inline(response.body().clone())
        } else {
            self.counters.answers_dropped.inc();
            Body::Dropped
        };
        let answer = Answer {
            status: response.status().as_u16(),
            headers: replayed_headers(response.headers()),
            body,
        };
        PendingAnswer {
            answer,
            _memory: memory,
        }
    }

    /// Stores a large body as the object `name` and returns the answer for the row.
    /// Retries until it succeeds, because a row must not name a missing object.
    pub async fn store(&self, pending: &PendingAnswer, name: String) -> Answer {
        let answer = &pending.answer;
        let Body::Inline(body) = &answer.body else {
            return answer.clone();
        };
        if body.len() <= self.max_inline_bytes {
            return answer.clone();
        }
        let mut backoff = Backoff::default();
        // An existing object was written by an earlier attempt whose response was lost.
        while self.create(&name, body).await.is_err() {
            self.counters.retries.inc();
            time::sleep(backoff.next_delay()).await;
        }
        Answer {
            body: Body::Object(name),
            ..answer.clone()
        }
    }

    async fn create(
        &self,
        name: &str,
        body: &Bytes,
    ) -> Result<bool, cloverpost_platform::fault::Fault> {
        let call = self.objects.create(name, body.clone());
        store::with_timeout(self.call_timeout, call).await
    }

    /// Builds the response that replays `answer`.
    pub async fn load(&self, answer: Answer) -> Result<http::Response<Bytes>, Error> {
        let body = match answer.body {
            Body::Inline(body) => body,
            Body::Dropped => return Err(Error::Lost),
            Body::Object(name) => {
                let call = self.objects.get(&name);
                let body = store::with_timeout(self.call_timeout, call).await;
                body.map_err(|_| Error::Unavailable)?.ok_or(Error::Lost)?
            }
        };
        let mut response = http::Response::new(body);
        *response.status_mut() =
            http::StatusCode::from_u16(answer.status).map_err(|_| Error::Lost)?;
        for Header { name, value } in answer.headers {
            let name = header::HeaderName::try_from(name).map_err(|_| Error::Lost)?;
            let value = header::HeaderValue::from_maybe_shared(value).map_err(|_| Error::Lost)?;
            response.headers_mut().append(name, value);
        }
        Ok(response)
    }
}

fn replayed_headers(headers: &http::HeaderMap) -> Vec<Header> {
    let mut remaining = MAX_REPLAYED_HEADER_BYTES;
    let mut stored = Vec::new();
    for (name, value) in headers {
        let is_replayed =
            REPLAYED_HEADERS.contains(name) || name.as_str().starts_with(ROUTER_HEADER_PREFIX);
        let size = name.as_str().len() + value.len();
        if !is_replayed || size > remaining {
            continue;
        }
        remaining -= size;
        stored.push(Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    stored
}
