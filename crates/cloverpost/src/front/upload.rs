//! Reads request bodies within limits of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cloverpost_core::refusal::{Code, Refusal};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time;

use crate::settings;

/// Limit on the bytes discarded after a refusal, as a multiple of the largest accepted body.
const DISCARD_FACTOR: usize = 16;

/// The body of a request. Call [`Upload::discard`] when no more of it is needed.
#[derive(Debug)]
pub struct Upload {
    body: Option<Incoming>,
    max: usize,
    timeout: Duration,
}

impl Upload {
    /// Wraps `body` without reading any of it.
    pub const fn new(body: Incoming, limits: &settings::Limits) -> Self {
        Self {
            body: Some(body),
            max: limits.max_body,
            timeout: limits.body_timeout,
        }
    }

    /// Reads the full body, or refuses it if it exceeds a limit.
    pub async fn read(&mut self) -> Result<Bytes, Refusal> {
        let (timeout, max) = (self.timeout, self.max);
        let Some(body) = self.body.as_mut() else {
            return Ok(Bytes::new());
        };
        let read = time::timeout(timeout, collect(body, max)).await;
        read.unwrap_or_else(|_elapsed| {
            // `discard` must not wait for a slow client again.
            self.body = None;
            let message = format!("the body took longer than {timeout:?}");
            Err(Refusal::not_run(Code::SlowClient, message))
        })
    }

    /// Reads and drops the rest of the body in the background, within limits.
    ///
    /// Otherwise the connection would be reset, and a client that writes its full body
    /// before it reads would never receive the refusal.
    pub fn discard(self) {
        let Some(body) = self.body.filter(|body| !body.is_end_stream()) else {
            return;
        };
        let max = self.max.saturating_mul(DISCARD_FACTOR);
        tokio::spawn(time::timeout(self.timeout, read_and_drop(body, max)));
    }
}

/// Reads `body`, or refuses it if it exceeds `max` bytes.
async fn collect(body: &mut Incoming, max: usize) -> Result<Bytes, Refusal> {
    if usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX) > max {
        return Err(too_large(max));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body broke off: {error}");
            Refusal::not_run(Code::MalformedBody, message)
        })?;
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > max {
            return Err(too_large(max));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn too_large(max: usize) -> Refusal {
    Refusal::not_run(Code::BodyTooLarge, format!("the body is over {max} bytes"))
}

async fn read_and_drop(mut body: Incoming, max: usize) {
    let mut read = 0;
    while read <= max {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        read += frame.into_data().map_or(0, |data| data.len());
    }
}
