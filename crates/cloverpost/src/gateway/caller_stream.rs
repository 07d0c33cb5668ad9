//! Connections of callers, which are closed if a caller does not read its response, and which tell
//! their [`Client`] what arrives.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use prometheus::IntCounterVec;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::gateway::clients::Client;
use crate::socket;

/// Time after which a caller that takes none of the bytes that are ready is disconnected. The
/// kernel does so sooner, by `TCP_USER_TIMEOUT`, if the caller's window stays closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after its deadline in which a stream may still be read.
pub const STREAM_GRACE: Duration = Duration::from_secs(5);
/// Time in which a complete response has to be read. The largest one takes 7 s at 10 Mbit/s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// When the response on a connection has to be read to its end.
#[derive(Clone, Copy, Debug)]
pub struct ReadBy(Instant);

impl ReadBy {
    /// For a stream whose request has `left` until its deadline.
    #[must_use]
    pub fn of_stream(left: Duration) -> Self {
        Self(Instant::now() + left + STREAM_GRACE)
    }

    /// For a complete response.
    #[must_use]
    pub fn of_complete() -> Self {
        Self(Instant::now() + RESPONSE_TIMEOUT)
    }
}

/// The [`ReadBy`] of the current response, shared by a connection and its service.
#[derive(Clone, Debug, Default)]
pub struct Limit(Arc<Mutex<Option<ReadBy>>>);

impl Limit {
    /// Sets the time for the next response.
    pub fn set(&self, read_by: ReadBy) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(read_by);
    }

    fn get(&self) -> Option<ReadBy> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    /// Kept since the kernel forgets it with the connection.
    peer: Option<SocketAddr>,
    limit: Limit,
    client: Arc<Client>,
    /// Maximum size of a head, in bytes.
    head_bytes: usize,
    disconnects: IntCounterVec,
    /// Set while bytes wait for the caller, until the time at which it is disconnected.
    blocked: Option<Pin<Box<Sleep>>>,
    is_disconnected: bool,
}

impl CallerStream {
    /// Wraps `stream` of `client`, whose heads have at most `head_bytes`; `disconnects` counts by reason.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        limit: Limit,
        client: Arc<Client>,
        head_bytes: usize,
        disconnects: IntCounterVec,
    ) -> Self {
        Self {
            peer: stream.peer_addr().ok(),
            stream,
            limit,
            client,
            head_bytes,
            disconnects,
            blocked: None,
            is_disconnected: false,
        }
    }

    /// Ready with an error once the caller has been blocking the connection for too long.
    fn poll_blocked(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let read_by = self.limit.get();
        let sleep = self.blocked.get_or_insert_with(|| {
            let unread = Instant::now() + UNREAD_TIMEOUT;
            let end = read_by.map_or(unread, |ReadBy(end)| end.min(unread));
            Box::pin(tokio::time::sleep_until(end))
        });
        ready!(sleep.as_mut().poll(cx));
        // A close would leave the unread bytes with the kernel.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        let is_late = read_by.is_some_and(|ReadBy(end)| end <= Instant::now());
        self.record(if is_late { "late" } else { "unread" });
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }

    /// Records that the kernel ended the connection: the caller's window stayed closed, or its host
    /// does not answer.
    fn record_error(&mut self, error: &io::Error) {
        if error.kind() == io::ErrorKind::TimedOut {
            self.record("timed_out");
        }
    }

    fn record(&mut self, reason: &str) {
        if std::mem::replace(&mut self.is_disconnected, true) {
            return;
        }
        self.disconnects.with_label_values(&[reason]).inc();
        let peer = self.peer.map(|peer| peer.to_string());
        log::info!(reason, peer = peer.unwrap_or_default().as_str(); "caller that does not read its response disconnected");
    }

    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(_)) => {
                self.blocked = None;
                self.client.set_blocked(false);
            }
            Poll::Ready(Err(error)) => self.record_error(error),
            Poll::Pending if !self.client.set_blocked(true) => {
                return Poll::Ready(Err(closed_for_others()));
            }
            Poll::Pending => return self.poll_blocked(cx).map(Err),
        }
        written
    }
}

impl Drop for CallerStream {
    /// Records a caller that is disconnected for others while it does not read its response.
    fn drop(&mut self) {
        if self.blocked.is_some() && !self.client.is_open() {
            self.record("unread");
        }
    }
}

/// The error of a connection that is closed for others.
fn closed_for_others() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.client.take_window_request() {
            socket::limit_receive_buffer(&self.stream);
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &read {
            Poll::Ready(Err(error)) => self.record_error(error),
            Poll::Ready(Ok(()))
                if buf.filled().len() > before && !self.client.record_read(self.head_bytes) =>
            {
                return Poll::Ready(Err(closed_for_others()));
            }
            _ => {}
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
