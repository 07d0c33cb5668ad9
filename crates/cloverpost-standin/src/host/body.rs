//! Response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};
use tokio::sync::{mpsc, watch};

use crate::host::sender::{BodySender, Consumed};

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Full<Bytes>),
    /// A body that is sent in chunks.
    Chunked(ChunkedBody),
}

/// A body that is received from a [`BodySender`] and ends when the sender is dropped.
#[derive(Debug)]
pub struct ChunkedBody {
    receiver: mpsc::Receiver<Bytes>,
    consumed: watch::Sender<Consumed>,
    delivered: usize,
}

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Creates a chunked body and its sender.
    #[must_use]
    pub fn chunked() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(1);
        let (consumed, watcher) = watch::channel(None);
        let body = ChunkedBody {
            receiver,
            consumed,
            delivered: 0,
        };
        (BodySender::new(sender, watcher), Self::Chunked(body))
    }
}

impl ChunkedBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let polled = self.receiver.poll_recv(cx);
        match polled {
            Poll::Ready(_) => self.delivered += 1,
            Poll::Pending => {
                self.consumed.send_replace(Some(self.delivered));
            }
        }
        polled
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(cx),
            Self::Chunked(body) => body
                .poll(cx)
                .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Chunked(_) => SizeHint::default(),
        }
    }
}
