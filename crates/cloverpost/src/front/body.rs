//! Response bodies.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body;
use tokio::sync::mpsc;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// The full body; `None` after it was sent.
    Full(Option<Bytes>),
    /// Chunks, sent as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, Aborted>>),
}

/// The response was aborted. The connection is closed without ending the body, so that
/// clients detect the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response aborted before its end")
    }
}

impl std::error::Error for Aborted {}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(body::Frame::data).map(Ok)),
            Self::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(body::Frame::data))),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(Some(bytes)) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Full(None) => body::SizeHint::with_exact(0),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}
