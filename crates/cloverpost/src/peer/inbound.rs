//! Inbound connections from peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::directory;
use cloverpost_wire::{self as wire, Frame, Message, hello};
use h2::server;
use http::{Response, StatusCode};
use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use crate::peer::auth::{Direction, Session, Transcript};
use crate::peer::connect::{CONNECTION_WINDOW, MAX_HELLO_LEN, STREAM_WINDOW};
use crate::peer::counting_stream::CountingStream;
use crate::peer::path::Path;
use crate::peer::shared::Shared;
use crate::peer::{Incoming, Reply, body, tunnel};
use crate::socket;

/// Maximum number of concurrent streams per connection.
const MAX_STREAMS: u32 = 256;
/// Maximum size of a header list, in bytes.
const MAX_HEADER_LIST_SIZE: u32 = 1024;
/// Multiple of the idle timeout after which an inbound connection is closed. The
/// connecting VM closes idle links after one idle timeout, so this only affects
/// peers that have disappeared.
const IDLE_TIMEOUT_FACTOR: u32 = 4;

/// Maximum time to flush a rejection to the peer before the connection is closed.
const REJECTION_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a stream is rejected.
enum Rejection {
    /// The peer failed authentication.
    Unauthenticated,
    /// The tag on a frame is invalid.
    InvalidTag,
    /// The frame is invalid.
    Frame(wire::Error),
    /// The inbox is full.
    Busy,
    /// The message was received, but no response was sent in time.
    Unanswered,
    /// The stream failed.
    StreamFailed,
}

/// An authenticated peer.
struct Peer {
    identity: hello::Identity,
    session: Session,
}

/// Authentication state of the peer.
#[derive(Clone)]
enum AuthState {
    /// The handshake has not completed.
    Pending,
    /// The peer has proved that it holds a shared key.
    Authenticated(Arc<Peer>),
    /// The peer was rejected, or the connection is shutting down.
    Rejected,
}

/// An inbound connection.
pub struct Connection {
    shared: Arc<Shared>,
    /// The claimed identity and the transcript, from the challenge until the proof.
    pending_challenge: Mutex<Option<(hello::Identity, Transcript)>>,
    auth_state: watch::Sender<AuthState>,
    /// Whether the peer has opened a tunnel.
    carries_tunnels: watch::Sender<bool>,
}

impl Connection {
    /// Serves the connection until it ends or the links are closed.
    pub async fn serve(shared: Arc<Shared>, socket: TcpStream) {
        socket::configure(&socket, socket::PEER_TIMEOUTS);
        let socket = CountingStream::new(socket, shared.counters.clone());
        let handshake = server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_LIST_SIZE)
            .initial_window_size(STREAM_WINDOW)
            .handshake(socket);
        let limit = shared.options.handshake_timeout;
        match time::timeout(limit, handshake).await {
            Ok(Ok(h2)) => Arc::new(Self::new(shared)).run(h2).await,
            Ok(Err(_)) => shared.counters.refused_garbled.increment(),
            Err(_) => shared.counters.refused_stranger.increment(),
        }
    }

    fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            pending_challenge: Mutex::default(),
            auth_state: watch::Sender::new(AuthState::Pending),
            carries_tunnels: watch::Sender::new(false),
        }
    }

    async fn run(self: Arc<Self>, mut h2: server::Connection<CountingStream, Bytes>) {
        let options = &self.shared.options;
        let mut closing = self.shared.closing.subscribe();
        let mut auth_state = self.auth_state.subscribe();
        let (mut is_authenticated, mut is_draining) = (false, false);
        let mut deadline = Instant::now() + options.handshake_timeout;
        loop {
            tokio::select! {
                _ = closing.wait_for(|closing| *closing) => break,
                () = self.wait_for_drain(), if !is_draining => {
                    is_draining = true;
                    h2.graceful_shutdown();
                }
                () = time::sleep_until(deadline) => {
                    if !is_authenticated {
                        self.shared.counters.refused_stranger.increment();
                    }
                    break;
                }
                Ok(()) = auth_state.changed() => {
                    if matches!(*auth_state.borrow(), AuthState::Rejected) {
                        break;
                    }
                    is_authenticated = true;
                    deadline = Instant::now() + options.idle_timeout * IDLE_TIMEOUT_FACTOR;
                    // Unauthenticated peers get only the default window.
                    h2.set_target_window_size(CONNECTION_WINDOW);
                }
                accepted = h2.accept() => {
                    let Some(Ok((request, respond))) = accepted else { return };
                    if is_authenticated {
                        deadline = Instant::now() + options.idle_timeout * IDLE_TIMEOUT_FACTOR;
                    }
                    tokio::spawn(self.clone().handle(request, respond));
                }
            }
        }
        self.shut_down(h2).await;
    }

    /// Completes when the connection carries tunnels and should take no more.
    async fn wait_for_drain(&self) {
        let mut carries_tunnels = self.carries_tunnels.subscribe();
        let mut draining = self.shared.is_draining.subscribe();
        // The senders live as long as this connection.
        let _ = carries_tunnels.wait_for(|carries| *carries).await;
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Shuts the connection down gracefully, with a time limit for open streams.
    async fn shut_down(&self, mut h2: server::Connection<CountingStream, Bytes>) {
        let limit = match self.auth_state.send_replace(AuthState::Rejected) {
            AuthState::Authenticated(_) => self.shared.options.message_timeout,
            AuthState::Pending | AuthState::Rejected => REJECTION_FLUSH_TIMEOUT,
        };
        h2.graceful_shutdown();
        let drain = async { while let Some(Ok(_)) = h2.accept().await {} };
        // After the time limit, dropping the connection closes it.
        let _ = time::timeout(limit, drain).await;
    }

    /// Handles one stream.
    async fn handle(
        self: Arc<Self>,
        request: http::Request<h2::RecvStream>,
        mut respond: server::SendResponse<Bytes>,
    ) {
        let path = Path::parse(request.uri().path());
        let body = request.into_body();
        if path == Some(Path::Tunnel) {
            if let Err((rejection, mut respond)) = self.handle_tunnel(body, respond).await {
                // Fails if the peer has disconnected.
                let _ = self.reject(&mut respond, &rejection);
            }
            return;
        }
        let stream_id = respond.stream_id().as_u32();
        let handled = match path {
            Some(Path::Hello) => self.challenge(body).await.map(Some),
            Some(Path::Proof) => self.verify_proof(body).await.map(|()| None),
            Some(Path::OneWay) => self.handle_one_way(body, stream_id).await.map(|()| None),
            Some(Path::Request) => self.handle_request(body, stream_id).await.map(Some),
            Some(Path::Tunnel) | None => Err(Rejection::Frame(wire::Error::Malformed)),
        };
        // Fails if the peer has disconnected.
        let _ = match handled {
            Ok(response) => send(&mut respond, response),
            Err(rejection) => self.reject(&mut respond, &rejection),
        };
    }

    /// Responds to a hello with a challenge.
    async fn challenge(&self, body: h2::RecvStream) -> Result<Bytes, Rejection> {
        let hello::Message::Hello(hello) = read_untagged(body).await? else {
            return Err(Rejection::Unauthenticated);
        };
        let mut challenge = hello::Challenge {
            identity: self.shared.identity.clone(),
            nonce: rand::rng().random(),
            tags: Vec::new(),
        };
        let transcript = Transcript::new(&hello, &challenge)?;
        challenge.tags = transcript.accept_tags(&self.shared.options.keys);
        self.replace_challenge(Some((hello.identity, transcript)));
        let message = Message::Hello(hello::Message::Challenge(challenge));
        Ok(Frame::encode(&message)?.as_bytes().clone())
    }

    /// Verifies the proof and authenticates the peer.
    async fn verify_proof(&self, body: h2::RecvStream) -> Result<(), Rejection> {
        let hello::Message::Proof(proof) = read_untagged(body).await? else {
            return Err(Rejection::Unauthenticated);
        };
        // A challenge allows one attempt.
        let (identity, transcript) = self
            .replace_challenge(None)
            .ok_or(Rejection::Unauthenticated)?;
        let key = transcript
            .proven_key(&self.shared.options.keys, &proof.tag)
            .ok_or(Rejection::Unauthenticated)?;
        let session = transcript.session(key);
        let peer = Arc::new(Peer { identity, session });
        self.auth_state.send_replace(AuthState::Authenticated(peer));
        self.shared.counters.accepted.increment();
        Ok(())
    }

    /// Puts a message into the inbox.
    async fn handle_one_way(&self, body: h2::RecvStream, stream_id: u32) -> Result<(), Rejection> {
        let peer = self.authenticated_peer().await?;
        let message = read_tagged(body, stream_id, &peer).await?;
        self.enqueue(&peer, message, Reply::none())
    }

    /// Puts a message into the inbox and waits for the response.
    async fn handle_request(
        &self,
        body: h2::RecvStream,
        stream_id: u32,
    ) -> Result<Bytes, Rejection> {
        let peer = self.authenticated_peer().await?;
        let message = read_tagged(body, stream_id, &peer).await?;
        let (reply, receiver) = oneshot::channel();
        self.enqueue(&peer, message, Reply::new(reply))?;
        let response = time::timeout(self.shared.options.message_timeout, receiver).await;
        let Ok(Ok(response)) = response else {
            return Err(Rejection::Unanswered);
        };
        let frame = Frame::encode(&response)?;
        let tag = peer
            .session
            .tag(Direction::Response, stream_id, frame.as_bytes());
        Ok(body::with_tag(frame.as_bytes(), tag))
    }

    /// Hands a tunnel over to the traffic thread.
    async fn handle_tunnel(
        &self,
        mut body: h2::RecvStream,
        respond: server::SendResponse<Bytes>,
    ) -> Result<(), (Rejection, server::SendResponse<Bytes>)> {
        let stream_id = respond.stream_id().as_u32();
        let (from, tunnel, unread) = match self.read_tunnel(&mut body, stream_id).await {
            Ok(read) => read,
            Err(rejection) => return Err((rejection, respond)),
        };
        self.carries_tunnels.send_replace(true);
        let incoming = tunnel::Incoming {
            from,
            tunnel,
            respond,
            body,
            unread,
        };
        let sent = self.shared.tunnels.try_send(incoming);
        sent.map_err(|error| (Rejection::Busy, error.into_inner().respond))
    }

    async fn read_tunnel(
        &self,
        body: &mut h2::RecvStream,
        stream_id: u32,
    ) -> Result<(hello::Identity, directory::Tunnel, Bytes), Rejection> {
        let peer = self.authenticated_peer().await?;
        let (tagged, unread) = body::read_first(body, MAX_HELLO_LEN).await?;
        match verify(&tagged, stream_id, &peer)? {
            Message::Tunnel(tunnel) => Ok((peer.identity.clone(), tunnel, unread)),
            _ => Err(Rejection::Frame(wire::Error::Malformed)),
        }
    }

    /// Waits until the peer is authenticated. The handshake deadline in [`Self::run`]
    /// bounds the wait.
    async fn authenticated_peer(&self) -> Result<Arc<Peer>, Rejection> {
        let mut auth_state = self.auth_state.subscribe();
        let decided = auth_state
            .wait_for(|auth_state| !matches!(auth_state, AuthState::Pending))
            .await;
        match decided.as_deref() {
            Ok(AuthState::Authenticated(peer)) => Ok(peer.clone()),
            _ => Err(Rejection::StreamFailed),
        }
    }

    fn enqueue(&self, peer: &Peer, message: Message, reply: Reply) -> Result<(), Rejection> {
        let incoming = Incoming {
            from: peer.identity.clone(),
            message,
            reply,
        };
        match self.shared.inbox.try_send(incoming) {
            Ok(()) => {
                self.shared.counters.received.increment();
                Ok(())
            }
            Err(mpsc::error::TrySendError::Full(_) | mpsc::error::TrySendError::Closed(_)) => {
                Err(Rejection::Busy)
            }
        }
    }

    fn replace_challenge(
        &self,
        next: Option<(hello::Identity, Transcript)>,
    ) -> Option<(hello::Identity, Transcript)> {
        let mut pending_challenge = self
            .pending_challenge
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut pending_challenge, next)
    }

    /// Counts a rejection and sends its status. Failed authentication and version
    /// mismatches also close the connection.
    fn reject(
        &self,
        respond: &mut server::SendResponse<Bytes>,
        rejection: &Rejection,
    ) -> Result<(), h2::Error> {
        let counters = &self.shared.counters;
        let (status, count, is_fatal) = match rejection {
            Rejection::Unauthenticated => {
                (StatusCode::UNAUTHORIZED, &counters.refused_stranger, true)
            }
            Rejection::InvalidTag => (StatusCode::UNAUTHORIZED, &counters.refused_tag, true),
            Rejection::Frame(wire::Error::Version { .. }) => {
                let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
                (status, &counters.refused_version, true)
            }
            Rejection::Frame(wire::Error::Oversize { .. }) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                (status, &counters.refused_oversize, false)
            }
            Rejection::Frame(wire::Error::Malformed) => {
                (StatusCode::BAD_REQUEST, &counters.refused_garbled, false)
            }
            Rejection::Busy => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                (status, &counters.refused_busy, false)
            }
            Rejection::Unanswered => (StatusCode::GATEWAY_TIMEOUT, &counters.unanswered, false),
            Rejection::StreamFailed => return Ok(()),
        };
        count.increment();
        let sent = respond.send_response(response(status), true).map(drop);
        if is_fatal {
            self.auth_state.send_replace(AuthState::Rejected);
        }
        sent
    }
}

/// Reads a handshake frame.
async fn read_untagged(mut body: h2::RecvStream) -> Result<hello::Message, Rejection> {
    let frame = body::read(&mut body, MAX_HELLO_LEN).await?;
    let Message::Hello(message) = Frame::decode(&frame)? else {
        return Err(Rejection::Unauthenticated);
    };
    Ok(message)
}

/// Reads a frame of an authenticated link and verifies its tag.
async fn read_tagged(
    mut body: h2::RecvStream,
    stream_id: u32,
    peer: &Peer,
) -> Result<Message, Rejection> {
    let tagged = body::read(&mut body, wire::MAX_BODY_LEN).await?;
    let message = verify(&tagged, stream_id, peer)?;
    if matches!(message, Message::Hello(_)) {
        return Err(Rejection::Frame(wire::Error::Malformed));
    }
    Ok(message)
}

/// Verifies the tag of a frame and decodes it.
fn verify(tagged: &[u8], stream_id: u32, peer: &Peer) -> Result<Message, Rejection> {
    let frame = peer
        .session
        .verify(Direction::Request, stream_id, tagged)
        .ok_or(Rejection::InvalidTag)?;
    Ok(Frame::decode(frame)?)
}

fn send(respond: &mut server::SendResponse<Bytes>, body: Option<Bytes>) -> Result<(), h2::Error> {
    let Some(body) = body else {
        return respond
            .send_response(response(StatusCode::NO_CONTENT), true)
            .map(drop);
    };
    respond
        .send_response(response(StatusCode::OK), false)?
        .send_data(body, true)
}

fn response(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}

impl From<wire::Error> for Rejection {
    fn from(error: wire::Error) -> Self {
        Self::Frame(error)
    }
}

impl From<body::Error> for Rejection {
    fn from(error: body::Error) -> Self {
        match error {
            body::Error::Stream => Self::StreamFailed,
            body::Error::Frame(error) => Self::Frame(error),
        }
    }
}
