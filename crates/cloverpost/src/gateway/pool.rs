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
use tokio::task::JoinHandle;

use cloverpost_core::connections::Decision;
use prometheus::IntGauge;

use crate::clock::Clock;
use crate::gateway::connections::{self, Connections, Permit, Waiting};
use crate::gateway::dial::{self, Dialer};
use crate::gateway::faults::{self, Faults};
use crate::gateway::meter::Meter;
use crate::gateway::metered::Metered;
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
/// Time for which a new connection has to stay open before it is used for a request that must not be
/// lost with it. An upstream without capacity resets a connection within a round trip of the connect:
/// 2,163 of 2,232 resets came within 1 ms.
const SETTLE_TIME: Duration = Duration::from_millis(2);
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
    connections: Connections,
    /// Locked before the state of `connections` where both are needed.
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
    /// Bytes since the last part of a response, and whether a part of a request waits to be written.
    meter: Meter,
    opened: time::Moment,
    /// When leave to open the connection was given.
    permitted: time::Moment,
    driver: JoinHandle<()>,
}

/// What a request gets from the pool.
#[derive(Debug)]
pub enum Acquired {
    /// An idle connection.
    Connection(Connection),
    /// Leave to open a connection.
    Permit(Permit),
    /// A place in the queue for a connection.
    Waiting(Waiting),
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

    /// When leave to open the connection was given.
    #[must_use]
    pub const fn permitted(&self) -> time::Moment {
        self.permitted
    }

    /// Whether a part of the request waits to be written.
    #[must_use]
    pub fn is_request_pending(&self) -> bool {
        self.meter.is_stuck()
    }

    /// Whether the connection takes no further request.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let via = self.via.as_ref();
        self.sender.is_closed() || via.is_some_and(|via| via.liveness.is_over())
    }

    /// Waits until the connection has stayed open for some milliseconds; returns `false` if the
    /// upstream closed it.
    pub async fn settle(&mut self) -> bool {
        if self.driver.is_finished() {
            return false;
        }
        let closed = tokio::time::timeout(SETTLE_TIME, &mut self.driver).await;
        if closed.is_ok() {
            return false;
        }
        // On a busy VM the reset and the timer may be due in the same turn of the runtime: the first
        // yield lets it read the socket's state, the second lets the driver act on it.
        for _ in 0..2 {
            tokio::task::yield_now().await;
        }
        !self.driver.is_finished() && !self.is_over()
    }

    /// Waits until the connection, which another request has returned, takes a request; returns `false`
    /// if it does not within some milliseconds.
    pub async fn ready(&mut self) -> bool {
        let ready = tokio::time::timeout(SETTLE_TIME, self.sender.ready()).await;
        matches!(ready, Ok(Ok(()))) && !self.is_over()
    }

    /// Records that a head or a part of a body has been taken.
    pub fn record_part(&self) {
        self.meter.reset();
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
    /// Creates an empty pool. `open` is the gauge of open connections.
    #[must_use]
    pub fn new(clock: Clock, open: IntGauge) -> Self {
        Self {
            clock,
            dialer: Dialer::default(),
            connections: Connections::new(clock, open),
            idle: Mutex::default(),
        }
    }

    /// Faults of the paths to upstreams, injected by tests.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        self.dialer.faults()
    }

    /// Limits on the connections.
    #[must_use]
    pub const fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Takes the newest reusable idle connection to `upstream`, else leave to open one, else a place in
    /// the queue by `priority`. `non_idempotent` applies the shorter idle limit.
    #[must_use]
    pub fn acquire(&self, upstream: &id::Upstream, non_idempotent: bool, priority: u8) -> Acquired {
        let now = self.clock.now();
        let mut idle = self.idle();
        let mut entries = idle.get_mut(upstream);
        if let Some(entries) = &mut entries
            && let Some(connection) = take_idle(entries, non_idempotent, now)
        {
            return Acquired::Connection(connection);
        }
        let unusable = entries.as_ref().map_or(0, |entries| entries.len());
        match self.connections.request(upstream, unusable, priority) {
            connections::Request::Permit(permit) => Acquired::Permit(permit),
            connections::Request::Waiting(waiting, decision) => {
                if decision == Decision::CloseIdle
                    && let Some(entries) = entries
                {
                    // Its place is granted once its socket is closed.
                    entries.remove(0);
                }
                Acquired::Waiting(waiting)
            }
        }
    }

    /// Opens a connection to `upstream`, which `permit` counts.
    pub async fn connect(
        &self,
        upstream: &directory::Upstream,
        permit: Permit,
    ) -> Result<Connection, dial::Error> {
        let stream = self.dial(upstream).await?;
        self.adopt(upstream, stream, None, permit).await
    }

    /// Opens a direct TCP connection to `upstream`.
    pub async fn dial(
        &self,
        upstream: &directory::Upstream,
    ) -> Result<faults::Stream, dial::Error> {
        self.dialer.dial(upstream.address).await
    }

    /// Makes a connection of `stream`, which leads to `upstream`, through `via` if set. `permit` is held
    /// until the stream is closed.
    pub async fn adopt<S>(
        &self,
        upstream: &directory::Upstream,
        stream: S,
        via: Option<Via>,
        permit: Permit,
    ) -> Result<Connection, dial::Error>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let meter = Meter::default();
        let stream = Metered::new(stream, meter.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| dial::Error::Failed)?;
        let permitted = permit.since;
        let driver = tokio::spawn(async move {
            // A connection error also reaches the request on the connection.
            let _ = driver.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            is_used: false,
            upstream: upstream.id.clone(),
            via,
            keep_alive: None,
            meter,
            opened: self.clock.now(),
            permitted,
            driver,
        })
    }

    /// Returns a connection to the pool after its response was read to the end. The request that waits
    /// for one with the highest priority gets it.
    pub fn put_back(&self, mut connection: Connection) {
        if connection.is_over() {
            return;
        }
        connection.is_used = true;
        let since = self.clock.now();
        let upstream = connection.upstream.clone();
        let mut idle = self.idle();
        let Some(connection) = self.connections.offer(&upstream, connection) else {
            return;
        };
        let is_scarce = self.connections.is_scarce(&upstream);
        let entries = idle.entry(upstream).or_default();
        if is_scarce {
            entries.retain(|entry| !entry.is_expired_if_scarce(since));
        }
        if entries.len() >= MAX_IDLE_PER_UPSTREAM {
            entries.remove(0);
        }
        entries.push(IdleConnection { connection, since });
    }

    /// Closes the idle connections that may no longer serve a non-idempotent request, where they occupy
    /// capacity that is scarce.
    pub fn close_scarce(&self) {
        let now = self.clock.now();
        let mut idle = self.idle();
        for (upstream, entries) in &mut *idle {
            if self.connections.is_scarce(upstream) {
                entries.retain(|entry| !entry.is_expired_if_scarce(now));
            }
        }
    }

    /// Whether a request to `upstream` gets an idle connection or leave to open one.
    #[must_use]
    pub fn has_connection(&self, upstream: &id::Upstream) -> bool {
        self.connections.has_capacity(upstream) || self.count_idle(upstream) > 0
    }

    /// Number of idle connections to `upstream`.
    #[must_use]
    pub fn count_idle(&self, upstream: &id::Upstream) -> usize {
        self.idle().get(upstream).map_or(0, Vec::len)
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

/// Removes and returns the newest reusable one of `entries`.
fn take_idle(
    entries: &mut Vec<IdleConnection>,
    non_idempotent: bool,
    now: time::Moment,
) -> Option<Connection> {
    entries.retain(|entry| !entry.is_expired(now));
    let index = entries.iter().rposition(|entry| {
        entry.connection.sender.is_ready()
            && now.since(entry.since) < entry.max_idle(non_idempotent)
    })?;
    Some(entries.remove(index).connection)
}

impl IdleConnection {
    /// Whether the connection is closed or may no longer serve a non-idempotent request.
    fn is_expired_if_scarce(&self, now: time::Moment) -> bool {
        self.is_expired(now) || now.since(self.since) >= self.max_idle(true)
    }

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
