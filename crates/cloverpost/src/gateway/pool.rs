//! Pool of HTTP/1 connections to upstreams.
//!
//! A connection serves one request at a time. Idle connections are reused newest first,
//! and only while the upstream is expected to keep them open. The limit is shorter for
//! non-idempotent requests: if the upstream closes the connection while the request is
//! sent, it is unknown whether the request ran.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cloverpost_core::{directory, id, time};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::AbortHandle;

use crate::clock::Clock;
use crate::gateway::dial::{self, Dialer};
use crate::gateway::faults::{self, Faults};
use crate::gateway::path::Via;

/// Idle time after which a connection is not reused, unless the upstream states its
/// keep-alive timeout.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Idle time after which a connection is not reused for a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(300);
/// Safety margin that is subtracted from a stated keep-alive timeout.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Age after which a connection through another VM is not reused. That VM checks only as it opens the
/// connection whether the upstream has asked it for no requests.
const MAX_TUNNEL_AGE: Duration = Duration::from_millis(400);
/// Size limit of a response head, and of the bytes of a body that are read at once. The default of
/// hyper, 400 KiB, times some hundred responses that arrive faster than their callers read exceeds
/// the memory of a small VM.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections by upstream.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    dialer: Dialer,
    idle: Mutex<HashMap<id::Upstream, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: time::Moment,
}

/// A connection that serves one request at a time.
///
/// Dropping it closes the connection, which also cancels a request whose response is
/// incomplete.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a request before.
    pub is_used: bool,
    upstream: id::Upstream,
    /// The tunnel that the connection uses, if it is not direct.
    via: Option<Via>,
    /// Keep-alive timeout that the upstream stated.
    keep_alive: Option<Duration>,
    opened: time::Moment,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// The VM that the connection leads through, if it is not direct.
    #[must_use]
    pub fn via(&self) -> Option<&id::Vm> {
        self.via.as_ref().map(|via| &via.vm)
    }

    /// Whether the connection leads through another VM.
    #[must_use]
    pub const fn is_tunnelled(&self) -> bool {
        self.via.is_some()
    }

    /// Whether the connection takes no further request.
    fn is_over(&self) -> bool {
        let via = self.via.as_ref();
        self.sender.is_closed() || via.is_some_and(|via| via.liveness.is_over())
    }

    /// Records the timeout of a `Keep-Alive` header in a response head.
    pub fn record_keep_alive(&mut self, head: &http::response::Parts) {
        let value = head
            .headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let parts = value.into_iter().flat_map(|value| value.split(','));
        let seconds = parts
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse().ok());
        self.keep_alive = seconds.map(Duration::from_secs).or(self.keep_alive);
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            dialer: Dialer::default(),
            idle: Mutex::default(),
        }
    }

    /// Faults of the paths to upstreams, injected by tests.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        self.dialer.faults()
    }

    /// Removes and returns the newest reusable idle connection to `upstream`.
    /// `non_idempotent` applies the shorter idle limit.
    #[must_use]
    pub fn take_idle(&self, upstream: &id::Upstream, non_idempotent: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|entry| !entry.is_expired(now));
        let index = connections.iter().rposition(|entry| {
            entry.connection.sender.is_ready()
                && now.since(entry.since) < entry.max_idle(non_idempotent)
        })?;
        Some(connections.remove(index).connection)
    }

    /// Opens a connection to `upstream`.
    pub async fn connect(&self, upstream: &directory::Upstream) -> Result<Connection, dial::Error> {
        let stream = self.dial(upstream).await?;
        self.adopt(upstream, stream, None).await
    }

    /// Opens a direct TCP connection to `upstream`.
    pub async fn dial(
        &self,
        upstream: &directory::Upstream,
    ) -> Result<faults::Stream, dial::Error> {
        self.dialer.dial(upstream.address).await
    }

    /// Makes a connection of `stream`, which leads to `upstream`, through `via` if set.
    pub async fn adopt<S>(
        &self,
        upstream: &directory::Upstream,
        stream: S,
        via: Option<Via>,
    ) -> Result<Connection, dial::Error>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| dial::Error::Failed)?;
        let driver = tokio::spawn(async move {
            // A connection error also reaches the request on the connection.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            is_used: false,
            upstream: upstream.id.clone(),
            via,
            keep_alive: None,
            opened: self.clock.now(),
            driver: driver.abort_handle(),
        })
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn put_back(&self, mut connection: Connection) {
        if connection.is_over() {
            return;
        }
        connection.is_used = true;
        let since = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.entry(connection.upstream.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_UPSTREAM {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, since });
    }

    /// Closes the idle connections to `upstream`, which restarted under the same id.
    /// They lead to the old process, where the outcome of a request would be unknown.
    pub fn close_idle(&self, upstream: &id::Upstream) {
        self.idle().remove(upstream);
    }

    /// Closes the idle connections to `upstream` that lead through other VMs.
    pub fn close_idle_tunnels(&self, upstream: &id::Upstream) {
        if let Some(connections) = self.idle().get_mut(upstream) {
            connections.retain(|entry| !entry.connection.is_tunnelled());
        }
    }

    /// Closes connections past their idle limit and those to upstreams that are not in
    /// `view`.
    pub fn evict_expired(&self, view: &directory::View) {
        let now = self.clock.now();
        let is_known = |id: &id::Upstream| {
            let mut upstreams = view.pools.values().flat_map(|pool| &pool.upstreams);
            upstreams.any(|upstream| upstream.id == *id)
        };
        let mut idle = self.idle();
        idle.retain(|id, connections| {
            connections.retain(|entry| !entry.is_expired(now));
            !connections.is_empty() && is_known(id)
        });
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<id::Upstream, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    /// Whether the connection is closed or past its idle limit.
    fn is_expired(&self, now: time::Moment) -> bool {
        let connection = &self.connection;
        let is_old = now.since(connection.opened) >= MAX_TUNNEL_AGE;
        connection.is_over()
            || now.since(self.since) >= self.max_idle(false)
            || connection.is_tunnelled() && is_old
    }

    /// Idle time up to which the connection may be reused.
    fn max_idle(&self, non_idempotent: bool) -> Duration {
        let stated = self
            .connection
            .keep_alive
            .map(|keep_alive| keep_alive.saturating_sub(KEEP_ALIVE_MARGIN));
        let max_idle = stated.unwrap_or(MAX_IDLE);
        if non_idempotent {
            max_idle.min(MAX_IDLE_NON_IDEMPOTENT)
        } else {
            max_idle
        }
    }
}
