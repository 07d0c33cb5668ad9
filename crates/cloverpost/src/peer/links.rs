//! Public interface of a VM's peer links.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use cloverpost_core::directory;
use cloverpost_wire::{Frame, Message, hello};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::peer::path::Path;
use crate::peer::shared::{Purpose, Shared};
use crate::peer::tunnel::{self, Liveness};
use crate::peer::{Counters, Error, Inbox, Options, Target, Tunnel, accept};

/// Capacity of the queue of tunnels that peers ask for.
const TUNNEL_INBOX_CAPACITY: usize = 64;

/// The links of a VM to its peers; clones refer to the same links.
///
/// All sockets belong to the runtime that called [`Links::bind`]. The methods may
/// be called from any runtime.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
    local_addr: SocketAddr,
    tunnels: Arc<Mutex<Option<tunnel::Inbox>>>,
    /// Stops the accept task, which signals the sender once all connections are closed.
    stop: mpsc::Sender<oneshot::Sender<()>>,
}

impl Links {
    /// Listens on `address`; outbound links are opened on demand.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<(Self, Inbox)> {
        let listener = TcpListener::bind(address).await?;
        let local_addr = listener.local_addr()?;
        let identity = hello::Identity {
            vm: options.vm.clone(),
            zone: options.zone.clone(),
            address: options.advertised.unwrap_or(local_addr),
        };
        let (sender, inbox) = mpsc::channel(options.inbox_capacity);
        let (tunnel_sender, tunnels) = mpsc::channel(TUNNEL_INBOX_CAPACITY);
        let shared = Arc::new(Shared::new(options, identity, sender, tunnel_sender));
        let (stop, stopping) = mpsc::channel(1);
        tokio::spawn(accept::run(listener, shared.clone(), stopping));
        let links = Self {
            shared,
            local_addr,
            tunnels: Arc::new(Mutex::new(Some(tunnels))),
            stop,
        };
        Ok((links, inbox))
    }

    /// Listening address.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Identity of this VM in handshakes.
    #[must_use]
    pub fn identity(&self) -> &hello::Identity {
        &self.shared.identity
    }

    /// Counters of all links.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.shared.counters
    }

    /// Number of outbound links, including those still connecting.
    #[must_use]
    pub fn open_links(&self) -> usize {
        self.shared.len()
    }

    /// Queues gossip: best-effort delivery that may lose, duplicate or reorder messages.
    ///
    /// Fails only if the message cannot be encoded or the links are closed.
    pub fn send(&self, target: &Target, message: &Message) -> Result<(), Error> {
        let frame = self.encode(message)?;
        self.shared
            .with_link(target, Purpose::Messages, |link| link.enqueue_gossip(frame));
        Ok(())
    }

    /// Sends a message and waits until the peer has put it into its inbox.
    pub async fn deliver(&self, target: &Target, message: &Message) -> Result<(), Error> {
        self.call(target, message, Path::OneWay).await.map(drop)
    }

    /// Sends a message and waits for its response.
    pub async fn request(&self, target: &Target, message: &Message) -> Result<Message, Error> {
        let response = self.call(target, message, Path::Request).await?;
        response.ok_or(Error::Unanswered)
    }

    /// Opens a tunnel through `target`. Returns it with the liveness of its link.
    pub async fn open_tunnel(
        &self,
        target: &Target,
        tunnel: directory::Tunnel,
    ) -> Result<(Tunnel, Liveness), tunnel::Error> {
        let frame = self.encode(&Message::Tunnel(tunnel))?;
        let (link, _permit) = self.shared.with_link(target, Purpose::Tunnels, |link| {
            Ok::<_, Error>((link.clone(), link.acquire_call_permit()?))
        })?;
        link.open_tunnel(&frame).await
    }

    /// Receives the tunnels that peers ask for. Returns `None` after the first call.
    #[must_use]
    pub fn take_tunnels(&self) -> Option<tunnel::Inbox> {
        let mut tunnels = self.tunnels.lock();
        tunnels.as_mut().ok()?.take()
    }

    /// Lets peers open no more tunnels here; open ones go on.
    pub fn drain_tunnels(&self) {
        self.shared.is_draining.send_replace(true);
    }

    /// Stops accepting connections, waits up to the message timeout for pending
    /// responses, and closes all links. Queued gossip is dropped, and clones fail
    /// with [`Error::Closed`] afterwards.
    pub async fn close(self) {
        let (done, closed) = oneshot::channel();
        if self.stop.send(done).await.is_ok() {
            // Fails if another clone has closed the links.
            let _ = closed.await;
        }
    }

    async fn call(
        &self,
        target: &Target,
        message: &Message,
        path: Path,
    ) -> Result<Option<Message>, Error> {
        let frame = self.encode(message)?;
        let (link, _permit) = self.shared.with_link(target, Purpose::Messages, |link| {
            Ok::<_, Error>((link.clone(), link.acquire_call_permit()?))
        })?;
        link.call(path, &frame).await
    }

    /// Encodes a message; fails if the links are closed.
    fn encode(&self, message: &Message) -> Result<Frame, Error> {
        if self.shared.is_closing() {
            return Err(Error::Closed);
        }
        Ok(Frame::encode(message)?)
    }
}
