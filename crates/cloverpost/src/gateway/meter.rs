//! Bytes that an upstream sends between two parts of a body.
//!
//! The framing of chunks may go on without end: a size with leading zeros, or blanks after it, is no
//! error to the HTTP library and yields no part of the body. A connection fails once too much of it has
//! arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes between two parts of a body, or in all heads of a response, at which the connection fails. The
/// heads of interim responses take up to 272 KiB together.
const MAX_BYTES: usize = 512 * 1024;

/// Counts the bytes that have arrived since the last part of a body. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a head or a part of a body has been taken.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts `bytes`. Returns whether the connection may go on.
    fn count(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_BYTES
    }
}

/// A stream whose incoming bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
}

impl<S> Metered<S> {
    /// Counts the bytes that arrive on `stream` with `meter`.
    pub const fn new(stream: S, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.meter.count(buf.filled().len() - before) {
            let message = "framing without end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
