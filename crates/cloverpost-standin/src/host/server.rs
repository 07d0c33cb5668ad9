//! Running stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::host::{Controls, Handler, accept};

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    controls: Controls,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Listens on `address` and serves the handler that `make_handler` creates. Returns the server
    /// and the handler.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        make_handler: impl FnOnce(Controls) -> H,
    ) -> io::Result<(Self, Arc<H>)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (controls, crashes) = Controls::new();
        let handler = Arc::new(make_handler(controls.clone()));
        let task = tokio::spawn(accept::run(
            listener,
            handler.clone(),
            controls.clone(),
            crashes,
        ));
        let server = Self {
            address,
            controls,
            task,
        };
        Ok((server, handler))
    }

    /// Returns the journal, script and phase.
    #[must_use]
    pub const fn controls(&self) -> &Controls {
        &self.controls
    }

    /// Returns the listening address.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.task.abort();
        // The task was cancelled or had failed. Either way, it has ended.
        let _ = self.task.await;
    }
}
