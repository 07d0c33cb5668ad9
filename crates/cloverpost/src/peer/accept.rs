//! Accepts connections from peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time;

use crate::peer::inbound;
use crate::peer::shared::Shared;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `shutdown` receives a message, then closes all of them.
pub async fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut shutdown: mpsc::Receiver<oneshot::Sender<()>>,
) {
    let permits = Arc::new(Semaphore::new(shared.options.max_accepted));
    let mut connections = JoinSet::new();
    let done = loop {
        tokio::select! {
            done = shutdown.recv() => break done,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => admit(&shared, &permits, socket, &mut connections),
                Err(_) => time::sleep(RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    };
    drop(listener);
    shared.closing.send_replace(true);
    shared.clear();
    while connections.join_next().await.is_some() {}
    if let Some(done) = done {
        // Fails if the caller has stopped waiting.
        let _ = done.send(());
    }
}

/// Serves a connection unless the limit of accepted connections is reached.
///
/// Without the limit, unauthenticated clients could exhaust file descriptors and
/// memory and lock peers out.
fn admit(
    shared: &Arc<Shared>,
    permits: &Arc<Semaphore>,
    socket: TcpStream,
    connections: &mut JoinSet<()>,
) {
    match permits.clone().try_acquire_owned() {
        Ok(permit) => {
            connections.spawn(serve(shared.clone(), socket, permit));
        }
        Err(_) => shared.counters.refused_crowd.increment(),
    }
}

async fn serve(shared: Arc<Shared>, socket: TcpStream, permit: OwnedSemaphorePermit) {
    inbound::Connection::serve(shared, socket).await;
    drop(permit);
}
