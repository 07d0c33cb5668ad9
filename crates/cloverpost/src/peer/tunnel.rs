//! Byte streams to upstreams through a peer.
//!
//! A tunnel is one h2 stream on a link. Its first frame names the upstream and carries a tag like
//! every message; the bytes after it are those of the connection and carry none, as on a direct
//! connection. h2 gives each tunnel flow control of its own. Tunnels use links of their own, so that
//! their bytes do not delay messages.
//!
//! The end of a connection becomes the end of the stream, and every other way to end a reset, so
//! that an answer that was cut off never looks complete.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use cloverpost_core::directory;
use cloverpost_wire::hello;
use futures_util::FutureExt;
use h2::{Reason, RecvStream, SendStream, client, server};
use http::{Response, StatusCode};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;

use crate::peer;

/// Largest number of bytes that a write takes.
const MAX_WRITE: usize = 16 * 1024;

/// Receives the tunnels that peers ask for.
pub type Inbox = mpsc::Receiver<Incoming>;

/// Why a peer opened no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The peer does not reach the upstream, but others.
    UpstreamDown,
    /// The peer has no path to any upstream, or does not know.
    UpstreamUnreachable,
    /// The peer does not know the upstream at this address.
    UnknownUpstream,
    /// The peer is stopping or has no room for another tunnel.
    Busy,
    /// The peer reaches the upstream, which asked it for no requests.
    PushedBack,
}

impl Rejection {
    const ALL: [Self; 5] = [
        Self::UpstreamDown,
        Self::UpstreamUnreachable,
        Self::UnknownUpstream,
        Self::Busy,
        Self::PushedBack,
    ];

    const fn status(self) -> StatusCode {
        match self {
            Self::UpstreamDown => StatusCode::BAD_GATEWAY,
            Self::UpstreamUnreachable => StatusCode::GATEWAY_TIMEOUT,
            Self::UnknownUpstream => StatusCode::NOT_FOUND,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Self::PushedBack => StatusCode::TOO_MANY_REQUESTS,
        }
    }

    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UpstreamDown => "upstream_down",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::UnknownUpstream => "unknown_upstream",
            Self::Busy => "busy",
            Self::PushedBack => "pushed_back",
        }
    }
}

/// Why there is no tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer was asked and opened none.
    Rejected(Rejection),
    /// The peer could not be asked, or did not answer.
    Peer(peer::Error),
}

impl Error {
    /// Name of the error, for logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Rejected(rejection) => rejection.as_str(),
            Self::Peer(peer::Error::TimedOut) => "peer_timed_out",
            Self::Peer(_) => "peer_unreachable",
        }
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Peer(error)
    }
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::Peer(error.into())
    }
}

/// The error of a response that opens no tunnel.
pub(super) fn error_of(status: StatusCode) -> Error {
    let known = Rejection::ALL.into_iter();
    let mut rejections = known.filter(|rejection| rejection.status() == status);
    match (rejections.next(), status) {
        (Some(rejection), _) => Error::Rejected(rejection),
        (None, StatusCode::UNAUTHORIZED) => peer::Error::Unauthenticated.into(),
        (None, _) => peer::Error::Refused.into(),
    }
}

/// A peer's wish for a tunnel.
#[derive(Debug)]
pub struct Incoming {
    /// The peer, as it identified itself.
    pub from: hello::Identity,
    /// Where the tunnel is to lead.
    pub tunnel: directory::Tunnel,
    pub(super) respond: server::SendResponse<Bytes>,
    pub(super) body: RecvStream,
    /// Bytes that came with the first frame.
    pub(super) unread: Bytes,
}

impl Incoming {
    /// Tells the peer that the tunnel is open; `None` if the peer has gone.
    #[must_use]
    pub fn accept(mut self) -> Option<Tunnel> {
        let sender = self.respond.send_response(Response::new(()), false).ok()?;
        Some(Tunnel::new(sender, self.body, self.unread))
    }

    /// Tells the peer that there is no tunnel.
    pub fn reject(mut self, rejection: Rejection) {
        let mut response = Response::new(());
        *response.status_mut() = rejection.status();
        // Fails if the peer has gone.
        let _ = self.respond.send_response(response, true);
    }
}

/// Tells whether a link still takes new work.
#[derive(Clone, Debug)]
pub struct Liveness(client::SendRequest<Bytes>);

impl Liveness {
    pub(super) const fn new(sender: client::SendRequest<Bytes>) -> Self {
        Self(sender)
    }

    /// Whether the link has failed or the peer is stopping.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.0.clone().ready().now_or_never(), Some(Err(_)))
    }
}

/// A byte stream to an upstream, or to the VM that asked for it.
#[derive(Debug)]
pub struct Tunnel {
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    unread: Bytes,
    is_shut_down: bool,
}

impl Tunnel {
    pub(super) const fn new(
        sender: SendStream<Bytes>,
        receiver: RecvStream,
        unread: Bytes,
    ) -> Self {
        Self {
            sender,
            receiver,
            unread,
            is_shut_down: false,
        }
    }

    /// Waits for capacity and returns it, at most `wanted` bytes.
    fn poll_capacity(&mut self, cx: &mut Context<'_>, wanted: usize) -> Poll<io::Result<usize>> {
        self.sender.reserve_capacity(wanted);
        while self.sender.capacity() == 0 {
            match ready!(self.sender.poll_capacity(cx)) {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(into_io(error))),
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        Poll::Ready(Ok(self.sender.capacity().min(wanted)))
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.receiver.poll_data(cx)) {
                None => return Poll::Ready(Ok(())),
                Some(chunk) => self.unread = chunk.map_err(into_io)?,
            }
        }
        let count = buf.remaining().min(self.unread.len());
        buf.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        // Fails only if the stream was reset; the next read reports that.
        let _ = self.receiver.flow_control().release_capacity(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let count = ready!(self.poll_capacity(cx, buf.len().min(MAX_WRITE)))?;
        let data = Bytes::copy_from_slice(&buf[..count]);
        let sent = self.sender.send_data(data, false).map_err(into_io);
        Poll::Ready(sent.map(|()| count))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::replace(&mut self.is_shut_down, true) {
            return Poll::Ready(Ok(()));
        }
        let sent = self.sender.send_data(Bytes::new(), true).map_err(into_io);
        Poll::Ready(sent)
    }
}

impl Drop for Tunnel {
    /// Resets the stream unless both ends are through with it.
    fn drop(&mut self) {
        if !self.is_shut_down || !self.receiver.is_end_stream() {
            self.sender.send_reset(Reason::CANCEL);
        }
    }
}

fn into_io(error: h2::Error) -> io::Error {
    if error.is_io() {
        error
            .into_io()
            .unwrap_or_else(|| io::ErrorKind::ConnectionReset.into())
    } else {
        io::Error::new(io::ErrorKind::ConnectionReset, error)
    }
}
