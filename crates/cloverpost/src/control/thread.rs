//! The control thread and its runtime.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::thread;

use cloverpost_platform::Platform;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};

use crate::control::actors::{Actors, Dependencies, Handles};

/// The control thread failed to start.
#[derive(Debug)]
pub enum Error {
    /// The operating system failed to create the thread or its runtime.
    System(io::Error),
    /// Listening for peers on this address failed.
    Peers(SocketAddr, io::Error),
    /// An actor failed to start.
    Actor(ractor::SpawnErr),
    /// The thread ended during startup.
    Terminated,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(f, "cannot start the control thread: {error}"),
            Self::Peers(address, error) => {
                write!(f, "--peer-addr: cannot listen on {address}: {error}")
            }
            Self::Actor(error) => write!(f, "cannot start a control actor: {error}"),
            Self::Terminated => f.write_str("the control thread ended during startup"),
        }
    }
}

impl std::error::Error for Error {}

/// A request to the thread.
enum Request {
    /// Start a graceful shutdown.
    Leave,
    /// Complete the shutdown, and signal its end.
    Close(oneshot::Sender<()>),
}

/// The running control thread.
///
/// Dropping it ends the thread immediately, without notifying peers.
#[derive(Debug)]
pub struct Thread {
    handles: Handles,
    requests: mpsc::Sender<Request>,
}

impl Thread {
    /// Starts the thread and its actors.
    pub async fn start<P: Platform>(dependencies: Dependencies<P>) -> Result<Self, Error> {
        let (requests, queue) = mpsc::channel(1);
        let (started_sender, started) = oneshot::channel();
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::System)?;
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(run(dependencies, started_sender, queue)))
            .map_err(Error::System)?;
        let handles = started.await.map_err(|_| Error::Terminated)??;
        Ok(Self { handles, requests })
    }

    /// Handles of the actors on the thread.
    #[must_use]
    pub fn handles(&self) -> &Handles {
        &self.handles
    }

    /// Starts a graceful shutdown: tells peers that this VM takes no new work.
    pub async fn leave(&self) {
        // Fails only if the thread has already ended.
        let _ = self.requests.send(Request::Leave).await;
    }

    /// Tells peers that this VM has left, and waits until the actors have stopped.
    pub async fn close(self) {
        let (done, closed) = oneshot::channel();
        if self.requests.send(Request::Close(done)).await.is_ok() {
            let _ = closed.await;
        }
    }
}

async fn run<P: Platform>(
    dependencies: Dependencies<P>,
    started_sender: oneshot::Sender<Result<Handles, Error>>,
    mut requests: mpsc::Receiver<Request>,
) {
    let actors = match Actors::start(dependencies).await {
        Ok(actors) => actors,
        Err(error) => {
            let _ = started_sender.send(Err(error));
            return;
        }
    };
    let _ = started_sender.send(Ok(actors.handles.clone()));
    while let Some(request) = requests.recv().await {
        match request {
            Request::Leave => actors.leave(),
            Request::Close(done) => {
                actors.close().await;
                let _ = done.send(());
                return;
            }
        }
    }
}
