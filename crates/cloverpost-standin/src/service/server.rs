//! Running services.

use std::io;
use std::net::SocketAddr;

use crate::host;
use crate::service::{Options, routes};

/// A running service.
#[derive(Debug)]
pub struct Server {
    host: host::Server,
}

impl Server {
    /// Starts a service that listens on `address`. Port 0 selects a free port.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let make_routes = |controls| routes::Routes::new(options, controls);
        let (host, _) = host::Server::bind(address, make_routes).await?;
        Ok(Self { host })
    }

    /// Returns the listening address.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.host.local_addr()
    }

    /// Returns the controls of the service.
    #[must_use]
    pub fn handle(&self) -> host::Controls {
        self.host.controls().clone()
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.host.close().await;
    }
}
