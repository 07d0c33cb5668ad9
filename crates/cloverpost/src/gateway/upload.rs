//! Bodies of requests.
//!
//! A small body counts with its connection. For a large one, memory for all of it is reserved before
//! more of it is read, so that those that begin are received one after another rather than all at once
//! in part. What arrives is copied into one buffer: a chunk would keep the buffer that it was read to.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cloverpost_core::clients::Stage;
use cloverpost_core::directory;
use cloverpost_core::refusal::Code;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::gateway::buffers::{Buffers, Reservation};
use crate::gateway::clients::Client;

/// Size up to which a body is small.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Time limit of a body as a multiple of that of a head.
const TIMEOUT_FACTOR: u32 = 4;
/// Time after which a body that holds memory must keep its pace while others wait for memory.
const PACE_GRACE: Duration = Duration::from_secs(1);
/// Interval at which the pace of a body is checked while nothing arrives.
const PACE_INTERVAL: Duration = Duration::from_millis(250);
/// Multiple of the largest body up to which a refused one is discarded.
const DISCARD_FACTOR: usize = 4;
/// Time limit of discarding a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a refused body that are discarded between pauses, so that clients that send without end
/// take little processor time.
const DISCARD_BYTES: usize = 256 * 1024;
/// Pause of discarding a body.
const DISCARD_PAUSE: Duration = Duration::from_millis(25);

/// Why a body was not received, with a description for the caller's developers.
pub type Error = (Code, &'static str);

const TOO_LARGE: Error = (Code::BodyTooLarge, "the body is over the limit");
const TOO_SLOW: Error = (Code::SlowClient, "the body took too long");
const BROKEN: Error = (Code::MalformedBody, "the body broke off");
const NO_MEMORY: Error = (Code::Overloaded, "no memory is free for the request");

/// What receiving a body depends on.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// Limits on requests.
    pub limits: &'a directory::Limits,
    /// Memory for large bodies.
    pub memory: &'a Buffers,
    /// Time limit for the wait for memory.
    pub max_wait: Duration,
    /// Memory of the head, in bytes.
    pub head_bytes: u64,
}

/// Receives `body`, which belongs to a request of `client`.
pub async fn receive(
    client: &Client,
    body: &mut Incoming,
    options: Options<'_>,
) -> Result<Bytes, Error> {
    let declared = body
        .size_hint()
        .exact()
        .map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let max = declared.unwrap_or(options.limits.body_bytes);
    if max > options.limits.body_bytes {
        return Err(TOO_LARGE);
    }
    let counted = declared.unwrap_or(SMALL_BYTES).min(SMALL_BYTES) as u64;
    if !client.begin(Stage::Body, options.head_bytes + counted) {
        return Err(NO_MEMORY);
    }
    let mut upload = Upload {
        options,
        max,
        bytes: BytesMut::with_capacity(declared.unwrap_or(0).min(SMALL_BYTES)),
        reservation: None,
        start: Instant::now(),
    };
    if declared.is_some_and(|length| length > SMALL_BYTES) {
        upload.reserve(client).await?;
    }
    while let Some(data) = upload.next(body).await? {
        let length = upload.bytes.len() + data.len();
        if length > max {
            return Err(TOO_LARGE);
        }
        if length > SMALL_BYTES && upload.reservation.is_none() {
            upload.reserve(client).await?;
        }
        upload.bytes.extend_from_slice(&data);
    }
    Ok(upload.finish())
}

/// A body that is being received.
struct Upload<'a> {
    options: Options<'a>,
    /// The declared length, or the limit.
    max: usize,
    bytes: BytesMut,
    reservation: Option<Reservation>,
    /// When receiving began, without the wait for memory.
    start: Instant,
}

impl Upload<'_> {
    /// Waits for memory for all of the body.
    async fn reserve(&mut self, client: &Client) -> Result<(), Error> {
        let waited = Instant::now();
        let reserve = self.options.memory.reserve(self.max);
        let reservation = tokio::time::timeout(self.options.max_wait, reserve).await;
        self.reservation = Some(reservation.map_err(|_elapsed| NO_MEMORY)?);
        self.start += waited.elapsed();
        client.request_window();
        // A buffer that grows step by step is copied, and takes up to twice its size meanwhile.
        self.bytes.reserve(self.max - self.bytes.len());
        Ok(())
    }

    /// The next bytes; `None` at the end.
    async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            let limit = self.options.limits.receive_timeout * TIMEOUT_FACTOR;
            let elapsed = self.start.elapsed();
            if elapsed >= limit
                || (self.is_behind(elapsed, limit) && self.options.memory.is_contended())
            {
                return Err(TOO_SLOW);
            }
            let wait = PACE_INTERVAL.min(limit.saturating_sub(elapsed));
            match tokio::time::timeout(wait, body.frame()).await {
                Err(_elapsed) => {}
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(BROKEN),
                Ok(Some(Ok(frame))) => return Ok(Some(frame.into_data().unwrap_or_default())),
            }
        }
    }

    /// Whether a body that holds reserved memory would not end within `limit` at its pace.
    fn is_behind(&self, elapsed: Duration, limit: Duration) -> bool {
        if self.reservation.is_none() || elapsed < PACE_GRACE {
            return false;
        }
        let expected = self.max as u128 * elapsed.as_millis() / limit.as_millis().max(1);
        (self.bytes.len() as u128) < expected
    }

    fn finish(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reservation.attach(self.bytes),
            None => self.bytes.freeze(),
        }
    }
}

/// Reads the rest of the body of a refused request, up to a multiple of `max_bytes`. A connection that
/// is closed while bytes are unread is reset, which destroys the refusal on its way.
pub async fn discard(mut body: Incoming, max_bytes: usize) {
    let max = max_bytes.saturating_mul(DISCARD_FACTOR);
    let read = async {
        let (mut count, mut since_pause) = (0, 0);
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            count += length;
            since_pause += length;
            if count > max {
                break;
            }
            if since_pause >= DISCARD_BYTES {
                since_pause = 0;
                tokio::time::sleep(DISCARD_PAUSE).await;
            }
        }
    };
    // The connection is closed with what is left.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}
