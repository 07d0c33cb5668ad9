//! Running engines.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::engine::routes::Routes;
use crate::engine::state::State;
use crate::engine::{Handle, Options};
use crate::host;

/// A running model engine.
#[derive(Debug)]
pub struct Server {
    host: host::Server,
    handle: Handle,
    report_task: JoinHandle<()>,
}

impl Server {
    /// Starts an engine that listens on `address`. Port 0 selects a free port.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let make_routes = |controls| Routes::new(Arc::new(State::new(options, controls)));
        let (host, routes) = host::Server::bind(address, make_routes).await?;
        let state = routes.state().clone();
        let reporter_state = state.clone();
        let report_task = tokio::spawn(async move { reporter_state.load.run().await });
        let handle = Handle::new(host.controls().clone(), state);
        Ok(Self {
            host,
            handle,
            report_task,
        })
    }

    /// Returns the listening address.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.host.local_addr()
    }

    /// Returns a handle to the engine.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.report_task.abort();
        self.host.close().await;
    }
}
