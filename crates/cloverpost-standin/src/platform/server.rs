//! HTTP server.

use std::io;
use std::net::SocketAddr;

use cloverpost_platform::memory;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, service};
use hyper_util::rt;
use tokio::{net, sync::oneshot, task};

use crate::platform::{reply, route};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A running platform server, stopped when closed or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    platform: memory::Platform,
    stop: oneshot::Sender<()>,
    accepting: task::JoinHandle<()>,
}

impl Server {
    /// Serves empty services on `address`. Port 0 selects a free port.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::bind_to(address, memory::Platform::new()).await
    }

    /// Serves `platform` on `address`, so that its state can outlive the server.
    pub async fn bind_to(address: SocketAddr, platform: memory::Platform) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let accepting = tokio::spawn(accept(listener, platform.clone(), stopped));
        Ok(Self {
            address,
            platform,
            stop,
            accepting,
        })
    }

    /// Returns the listening address.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the services, which can be configured without the control interface.
    #[must_use]
    pub fn platform(&self) -> &memory::Platform {
        &self.platform
    }

    /// Closes the listener and all connections, and waits until the port is free.
    pub async fn close(self) {
        drop(self.stop);
        // The panic hook has already reported a panic of the task.
        let _ = self.accepting.await;
    }
}

async fn accept(
    listener: net::TcpListener,
    platform: memory::Platform,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut connections = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => drop(connections.spawn(serve(stream, platform.clone()))),
            Err(error) => log::warn!("failed to accept a connection: {error}"),
        }
    }
    connections.shutdown().await;
}

async fn serve(stream: net::TcpStream, platform: memory::Platform) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let respond = service::service_fn(|request| respond(platform.clone(), request));
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), respond);
    if let Err(error) = connection.await {
        log::debug!("connection failed: {error}");
    }
}

/// Handles a request in its own task, so that it completes even if the client disconnects.
async fn respond(
    platform: memory::Platform,
    request: Request<Incoming>,
) -> Result<reply::Reply, reply::NoResponse> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|_| reply::NoResponse)?.to_bytes();
    let request = Request::from_parts(parts, body);
    let handled = tokio::spawn(route::handle(platform, request));
    handled.await.unwrap_or(Err(reply::NoResponse))
}
