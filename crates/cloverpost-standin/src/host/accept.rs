//! Accept loop with simulated crashes and restarts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use crate::host::{Controls, Handler, connection};

/// Maximum length of the accept queue after a restart.
const BACKLOG: u32 = 1024;

/// Accepts connections until dropped, which closes them.
pub async fn run<H: Handler>(
    mut listener: TcpListener,
    handler: Arc<H>,
    controls: Controls,
    mut crashes: mpsc::UnboundedReceiver<Duration>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection::serve(stream, handler.clone(), controls.clone()));
                }
            }
            Some(downtime) = crashes.recv() => {
                drop(listener);
                connections.shutdown().await;
                listener = relisten(address, downtime).await?;
                // Crashes requested before the restart must not affect the new listener.
                while crashes.try_recv().is_ok() {}
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Binds `address` without listening for `downtime`, so that connections are refused and no other
/// process can bind it, then listens again.
async fn relisten(address: SocketAddr, downtime: Duration) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    time::sleep(downtime).await;
    socket.listen(BACKLOG)
}
