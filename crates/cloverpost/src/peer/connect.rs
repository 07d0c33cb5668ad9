//! Outbound connections to peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use cloverpost_wire::{self as wire, Frame, Message, hello};
use h2::client;
use http::StatusCode;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time;

use crate::peer::auth::{Direction, Session, Transcript};
use crate::peer::counting_stream::CountingStream;
use crate::peer::path::Path;
use crate::peer::shared::{Purpose, Shared};
use crate::peer::tunnel::{self, Tunnel};
use crate::peer::{Error, Target, body};
use crate::socket;

/// Maximum body length of handshake messages, in bytes.
pub const MAX_HELLO_LEN: usize = 1024;
/// h2 receive window of a stream, in bytes.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// h2 receive window of an authenticated connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// A connection whose ends have authenticated each other.
pub struct Connection {
    sender: client::SendRequest<Bytes>,
    session: Session,
    is_closed: Arc<AtomicBool>,
}

impl Connection {
    /// Connects to `target` and performs the handshake.
    pub async fn open(
        shared: Arc<Shared>,
        target: Target,
        purpose: Purpose,
    ) -> Result<Self, Error> {
        let timeout = shared.options.handshake_timeout;
        let opening = Self::open_without_timeout(&shared, &target, purpose);
        let opened = time::timeout(timeout, opening)
            .await
            .unwrap_or(Err(Error::Unreachable));
        match &opened {
            Ok(_) => shared.counters.opened.increment(),
            Err(error) => count_failure(&shared, error),
        }
        opened
    }

    async fn open_without_timeout(
        shared: &Arc<Shared>,
        target: &Target,
        purpose: Purpose,
    ) -> Result<Self, Error> {
        let socket = TcpStream::connect(target.address)
            .await
            .map_err(|_| Error::Unreachable)?;
        match purpose {
            // Messages have timeouts of their own.
            Purpose::Messages => socket::disable_nagle(&socket),
            Purpose::Tunnels => socket::configure(&socket, socket::UPSTREAM_TIMEOUTS),
        }
        let socket = CountingStream::new(socket, shared.counters.clone());
        let (mut sender, connection) = client::Builder::new()
            .enable_push(false)
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(socket)
            .await?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = is_closed.clone();
        shared.spawn(async move {
            // Calls in flight report the error.
            let _ = connection.await;
            closed.store(true, Ordering::Release);
        });
        let session = authenticate(shared, target, &mut sender).await?;
        Ok(Self {
            sender,
            session,
            is_closed,
        })
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Sends a message and waits for the acknowledgement or the response.
    pub async fn exchange(&self, path: Path, frame: &Frame) -> Result<Option<Message>, Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(path.request(), false)?;
        let stream_id = stream.stream_id().as_u32();
        let tag = self
            .session
            .tag(Direction::Request, stream_id, frame.as_bytes());
        stream.send_data(body::with_tag(frame.as_bytes(), tag), true)?;
        let response = response.await?;
        match response.status() {
            StatusCode::OK => self
                .read_response(stream_id, response.into_body())
                .await
                .map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Busy),
            StatusCode::GATEWAY_TIMEOUT => Err(Error::Unanswered),
            StatusCode::UNAUTHORIZED => Err(Error::Unauthenticated),
            _ => Err(Error::Refused),
        }
    }

    /// Opens a tunnel; `frame` tells where it leads.
    pub async fn open_tunnel(&self, frame: &Frame) -> Result<Tunnel, tunnel::Error> {
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(Path::Tunnel.request(), false)?;
        let stream_id = stream.stream_id().as_u32();
        let tag = self
            .session
            .tag(Direction::Request, stream_id, frame.as_bytes());
        stream.send_data(body::with_tag(frame.as_bytes(), tag), false)?;
        let response = response.await?;
        match response.status() {
            StatusCode::OK => Ok(Tunnel::new(stream, response.into_body(), Bytes::new())),
            status => Err(tunnel::error_of(status)),
        }
    }

    /// Tells whether the connection still takes new work.
    pub fn liveness(&self) -> tunnel::Liveness {
        tunnel::Liveness::new(self.sender.clone())
    }

    /// Reads and verifies the response on the stream `stream_id`.
    async fn read_response(
        &self,
        stream_id: u32,
        mut body: h2::RecvStream,
    ) -> Result<Message, Error> {
        let tagged = body::read(&mut body, wire::MAX_BODY_LEN).await?;
        let frame = self
            .session
            .verify(Direction::Response, stream_id, &tagged)
            .ok_or(Error::ConnectionLost)?;
        Ok(Frame::decode(frame)?)
    }
}

/// Performs the handshake: hello, challenge, proof.
async fn authenticate(
    shared: &Arc<Shared>,
    target: &Target,
    sender: &mut client::SendRequest<Bytes>,
) -> Result<Session, Error> {
    let keys = &shared.options.keys;
    let hello = hello::Hello {
        identity: shared.identity.clone(),
        nonce: rand::rng().random(),
    };
    let response = send_untagged(sender, Path::Hello, hello::Message::Hello(hello.clone())).await?;
    let challenge = read_challenge(response.await?).await?;
    let transcript = Transcript::new(&hello, &challenge)?;
    let key = transcript
        .shared_key(keys, &challenge.tags)
        .ok_or(Error::Unauthenticated)?;
    // The identity is trusted only after the peer's tag has been verified.
    if challenge.identity.vm != target.vm {
        let found = challenge.identity.vm;
        return Err(Error::WrongVm { found });
    }
    let proof = hello::Proof {
        tag: transcript.connect_tag(key),
    };
    let proof_response = send_untagged(sender, Path::Proof, hello::Message::Proof(proof)).await?;
    // Messages may be sent without waiting for the response: the peer processes
    // none before it has verified the proof, and closes the connection if the
    // proof is invalid. Dropping the future would reset the stream that carries
    // the proof, so a task awaits it.
    shared.spawn(async move {
        let _ = proof_response.await;
    });
    Ok(transcript.session(key))
}

/// Sends a handshake frame, which carries no tag because no session exists yet.
async fn send_untagged(
    sender: &mut client::SendRequest<Bytes>,
    path: Path,
    message: hello::Message,
) -> Result<client::ResponseFuture, Error> {
    let frame = Frame::encode(&Message::Hello(message))?;
    let mut sender = sender.clone().ready().await?;
    let (response, mut stream) = sender.send_request(path.request(), false)?;
    stream.send_data(frame.as_bytes().clone(), true)?;
    Ok(response)
}

/// Reads the peer's challenge.
async fn read_challenge(
    response: http::Response<h2::RecvStream>,
) -> Result<hello::Challenge, Error> {
    if response.status() != StatusCode::OK {
        return Err(Error::Refused);
    }
    let frame = body::read(&mut response.into_body(), MAX_HELLO_LEN).await?;
    match Frame::decode(&frame)? {
        Message::Hello(hello::Message::Challenge(challenge)) => Ok(challenge),
        _ => Err(Error::Refused),
    }
}

fn count_failure(shared: &Shared, error: &Error) {
    let counters = &shared.counters;
    counters.failed.increment();
    match error {
        Error::Unauthenticated => counters.refused_stranger.increment(),
        Error::WrongVm { .. } => counters.wrong_vm.increment(),
        Error::Frame(wire::Error::Version { .. }) => counters.refused_version.increment(),
        Error::Frame(wire::Error::Oversize { .. }) => counters.refused_oversize.increment(),
        Error::Frame(wire::Error::Malformed) => counters.refused_garbled.increment(),
        _ => {}
    }
}

impl From<body::Error> for Error {
    fn from(error: body::Error) -> Self {
        match error {
            body::Error::Stream => Self::ConnectionLost,
            body::Error::Frame(error) => Self::Frame(error),
        }
    }
}
