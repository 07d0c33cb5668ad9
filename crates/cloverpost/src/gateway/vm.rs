//! An entry VM: its two threads, startup and graceful shutdown.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cloverpost_core::clients;
use cloverpost_core::directory::Member;
use cloverpost_core::shutdown::End;
use ractor::Actor;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::{Context, Controller};
use crate::gateway::faults::Faults;
use crate::gateway::settings::Settings;
use crate::gateway::shared::Phase;
use crate::gateway::store::Store;
use crate::gateway::{Shared, operator_server, path, reload, server, tunnels};
use crate::peer;
use crate::socket;

/// Delay between failing the readiness check and closing connections. The balancer checks every
/// second and acts on two failures.
const READINESS_DELAY: Duration = Duration::from_millis(2600);
/// Time reserved between the end of the graceful shutdown and the kill of the process.
const KILL_MARGIN: Duration = Duration::from_millis(350);
/// Time reserved before that in which the last responses are written.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Errors of starting a VM.
#[derive(Debug)]
pub enum Error {
    /// Creating a thread or runtime failed.
    System(io::Error),
    /// Binding an address failed: setting, address, cause.
    Bind(&'static str, SocketAddr, io::Error),
    /// The control thread failed to start.
    Control(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(f, "cannot create a thread or runtime: {error}"),
            Self::Bind(setting, address, error) => {
                write!(f, "{setting}: cannot listen on {address}: {error}")
            }
            Self::Control(reason) => write!(f, "the control thread did not start: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// An entry VM that has been started.
pub struct Vm<C: Codec, S: Store> {
    shared: Arc<Shared<C>>,
    store: S,
    own: Member,
    caller_listener: TcpListener,
    operator_addr: SocketAddr,
    /// Ends the control thread when dropped.
    control: oneshot::Sender<Infallible>,
}

impl<C: Codec, S: Store> Vm<C, S> {
    /// Binds the sockets and starts the control thread. Traffic runs on the current runtime.
    pub async fn start(
        settings: Settings,
        file: Option<PathBuf>,
        codec: C,
        store: S,
        keys: peer::Keys,
    ) -> Result<Self, Error> {
        let caller_listener = {
            let backlog = settings.memory.backlog(settings.max_descriptors);
            let listener = socket::listen(settings.caller_addr, backlog, clients::PENDING_BYTES);
            listener.map_err(|error| Error::Bind("caller-addr", settings.caller_addr, error))?
        };
        let operator_listener = listen_for_operators("operator-addr", settings.operator_addr)?;
        let operator_addr = operator_listener.local_addr().map_err(Error::System)?;
        let shared = Shared::new(settings, codec);
        tokio::spawn(operator_server::run(
            "operators",
            operator_listener,
            shared.clone(),
        ));
        if let Some(address) = shared.settings.load().metrics_addr {
            let metrics = listen_for_operators("metrics-addr", address)?;
            tokio::spawn(operator_server::run("metrics", metrics, shared.clone()));
        }
        if let Some(file) = file {
            tokio::spawn(reload::run(file, shared.clone()));
        }
        let (own, control) = start_control(&shared, &store, keys).await?;
        let tunnels = shared.links.get().and_then(peer::Links::take_tunnels);
        if let Some(tunnels) = tunnels {
            tokio::spawn(tunnels::run(shared.clone(), tunnels));
        }
        tokio::spawn(path::probe(shared.clone()));
        Ok(Self {
            shared,
            store,
            own,
            caller_listener,
            operator_addr,
            control,
        })
    }

    /// Listening address for callers.
    pub fn caller_addr(&self) -> io::Result<SocketAddr> {
        self.caller_listener.local_addr()
    }

    /// Listening address for readiness and metrics.
    #[must_use]
    pub const fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Faults of the paths to upstreams, injected by tests.
    #[must_use]
    pub fn path_faults(&self) -> Faults {
        self.shared.pool.faults().clone()
    }

    /// Serves until `stop` resolves, then shuts down gracefully. The control thread ends with the
    /// returned future, also if it is dropped.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let _control = self.control;
        let server = tokio::spawn(server::run(self.caller_listener, self.shared.clone()));
        stop.await;
        let grace = self.shared.settings.load().stop_grace;
        let deadline = tokio::time::sleep(grace.saturating_sub(KILL_MARGIN));
        log::info!(in_flight = self.shared.metrics.in_flight.get(); "stopping: no longer ready");
        let service = grace.saturating_sub(KILL_MARGIN + RESPONSE_MARGIN);
        let end = End::new(self.shared.clock.now() + service);
        self.shared.end.send_replace(Some(end));
        self.shared.phase.send_replace(Phase::Leaving);
        tokio::pin!(deadline);
        tokio::select! {
            () = shut_down(&self.shared, service, &self.store, &self.own, server) => log::info!("stopped"),
            () = &mut deadline => {
                log::warn!(in_flight = self.shared.metrics.in_flight.get(); "stopped with requests in flight");
            }
        }
    }
}

/// Stops serving within `service`.
async fn shut_down<C: Codec, S: Store>(
    shared: &Shared<C>,
    service: Duration,
    store: &S,
    own: &Member,
    server: tokio::task::JoinHandle<()>,
) {
    if let Some(links) = shared.links.get() {
        links.drain_tunnels();
    }
    tokio::time::sleep(READINESS_DELAY.min(service)).await;
    log::info!(in_flight = shared.metrics.in_flight.get(); "closing connections");
    shared.phase.send_replace(Phase::Closing);
    // A panic of the server has already been logged.
    let _ = server.await;
    while shared.metrics.in_flight.get() > 0 || shared.metrics.paths.open.get() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if let Err(error) = store.deregister(own).await {
        log::warn!(why:% = error; "failed to remove this VM from the member list");
    }
}

fn listen_for_operators(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let (backlog, pending_bytes) = (operator_server::BACKLOG, operator_server::PENDING_BYTES);
    let listener = socket::listen(address, backlog, pending_bytes);
    listener.map_err(|error| Error::Bind(setting, address, error))
}

/// Starts the control thread with the peer links; returns this VM's member row. The thread ends
/// when the returned sender is dropped.
async fn start_control<C: Codec, S: Store>(
    shared: &Arc<Shared<C>>,
    store: &S,
    keys: peer::Keys,
) -> Result<(Member, oneshot::Sender<Infallible>), Error> {
    let settings = shared.settings.load_full();
    let mut options = peer::Options::new(settings.vm.clone(), settings.zone.clone(), keys);
    options.advertised = settings.peer_advertised_addr;
    let address = settings.peer_addr;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::System)?;
    let (started_tx, started_rx) = oneshot::channel();
    let (control_tx, control_rx) = oneshot::channel();
    let (shared, store) = (shared.clone(), store.clone());
    let control = async move {
        let (links, inbox) = match peer::Links::bind(address, options).await {
            Ok(bound) => bound,
            Err(error) => {
                let _ = started_tx.send(Err(Error::Bind("peer-addr", address, error)));
                return;
            }
        };
        // Set once: there is one control thread.
        let _ = shared.links.set(links.clone());
        let own = Member {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            address: links.identity().address,
            size: settings.size,
        };
        let context = Context {
            shared,
            store,
            links,
            own: own.clone(),
        };
        match Actor::spawn(None, Controller::default(), context).await {
            Ok((controller, task)) => {
                let _ = started_tx.send(Ok(own));
                tokio::spawn(forward_peer_messages(inbox, controller));
                tokio::select! {
                    _ = control_rx => {}
                    // Ends by itself only after a panic of the actor.
                    _ = task => log::error!("the control thread has ended"),
                }
            }
            Err(error) => {
                let _ = started_tx.send(Err(Error::Control(error.to_string())));
            }
        }
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control))
        .map_err(Error::System)?;
    let exited = |_| Error::Control("the thread ended during startup".to_owned());
    let own = started_rx.await.map_err(exited)??;
    Ok((own, control_tx))
}

async fn forward_peer_messages(mut inbox: peer::Inbox, controller: ractor::ActorRef<Command>) {
    while let Some(incoming) = inbox.recv().await {
        if controller
            .cast(Command::PeerMessage(Box::new(incoming)))
            .is_err()
        {
            return;
        }
    }
}
