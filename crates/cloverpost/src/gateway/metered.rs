//! A stream to an upstream whose bytes a [`Meter`] counts. It fails once too many have arrived.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::gateway::meter::Meter;

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
}

impl<S> Metered<S> {
    /// Counts the bytes of `stream` with `meter`.
    pub const fn new(stream: S, meter: Meter) -> Self {
        Self { stream, meter }
    }

    /// Records the result of a write of `offered` bytes.
    fn record_write(
        &self,
        write: Poll<io::Result<usize>>,
        offered: usize,
    ) -> Poll<io::Result<usize>> {
        let written = match &write {
            Poll::Ready(Ok(written)) => *written,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.meter.record_write(written, offered);
        write
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
        let write = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(write, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(write, bufs.iter().map(|buf| buf.len()).sum())
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
