//! Connections of clients and what they hold.
//!
//! [`clients::Register`] decides which connections are closed for others. Each listener has its own, so
//! that a crowd at one of them does not take the connections of another. A connection has a [`Client`],
//! which is told what arrives on it and what is served.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use cloverpost_core::clients::{self, Connection, Limits, Order, Outcome, Register, Stage};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::buffers::Buffers;
use crate::gateway::metrics;
use crate::socket;

/// Memory of a connection on which no byte has arrived.
const NEW_BYTES: u64 = 16 * 1024;
/// Memory of a connection after its first byte.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// Interval at which connections that take too long are closed.
const TICK: Duration = Duration::from_millis(500);

/// Times after which connections are closed.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// Without the first byte of a first request.
    pub silent: Duration,
}

impl Timeouts {
    /// Whole intervals of a connection's stage that are allowed. The first and the last one may be
    /// parts of an interval.
    fn ticks(self, stage: Stage) -> Option<u64> {
        let timeout = match stage {
            Stage::Head => self.head,
            Stage::New => self.silent,
            _ => return None,
        };
        u64::try_from(timeout.as_millis().div_ceil(TICK.as_millis()))
            .ok()
            .map(|ticks| ticks + 1)
    }
}

/// The connections of clients at one listener.
#[derive(Clone, Debug)]
pub struct Clients(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    listener: &'static str,
    state: Mutex<State>,
    metrics: metrics::Listener,
    /// Memory of the kernel for a response that is not read.
    unread_bytes: u64,
    /// Memory that the connections share with large requests.
    shared: Option<(clients::Shares, Buffers)>,
}

#[derive(Debug)]
struct State {
    register: Register,
    /// Wakes the task of a connection that is closed.
    signals: HashMap<Connection, Arc<Notify>>,
    /// Connections closed for others since the last line in the log.
    closed: u64,
    /// Connections closed since they took too long, since the last line in the log.
    late: u64,
}

impl State {
    fn close(&mut self, connections: &[Connection]) {
        for connection in connections {
            if let Some(signal) = self.signals.remove(connection) {
                signal.notify_one();
            }
        }
    }
}

impl Clients {
    /// Creates the connections of the listener for operators named `listener`.
    #[must_use]
    pub fn of_operators(
        listener: &'static str,
        limits: Limits,
        metrics: &metrics::Clients,
    ) -> Self {
        let register = Register::new(limits, Order::Arrival);
        Self::build(listener, register, metrics, None)
    }

    /// Creates the connections of callers on a VM with `descriptors` file descriptors. They share memory
    /// with the large `requests`.
    #[must_use]
    pub fn of_callers(
        descriptors: u32,
        memory: clients::Shares,
        requests: Buffers,
        metrics: &metrics::Clients,
    ) -> Self {
        let limits = Limits::of_callers(descriptors, memory.connections(0));
        let register = Register::new(limits, Order::Stage);
        Self::build("callers", register, metrics, Some((memory, requests)))
    }

    fn build(
        listener: &'static str,
        register: Register,
        metrics: &metrics::Clients,
        shared: Option<(clients::Shares, Buffers)>,
    ) -> Self {
        Self(Arc::new(Inner {
            listener,
            state: Mutex::new(State {
                register,
                signals: HashMap::new(),
                closed: 0,
                late: 0,
            }),
            metrics: metrics.listener(listener),
            unread_bytes: match shared {
                Some(_) => socket::BUFFER_BYTES as u64,
                None => socket::SHORT_RESPONSE_BYTES as u64,
            },
            shared,
        }))
    }

    /// Whether a connection is closed for the next one.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.state().register.is_full()
    }

    /// Adds a connection, for which others may be closed; `None` if there is no room for it.
    #[must_use]
    pub fn open(&self) -> Option<Arc<Client>> {
        let mut state = self.limited_state();
        let (connection, outcome) = state.register.open(NEW_BYTES);
        self.record(&mut state, &outcome);
        if !outcome.is_kept {
            return None;
        }
        let closed = Arc::<Notify>::default();
        state.signals.insert(connection, closed.clone());
        drop(state);
        Some(Arc::new(Client {
            clients: self.clone(),
            connection,
            closed,
            activity: Mutex::new(Activity {
                stage: Stage::New,
                request_bytes: 0,
                is_blocked: false,
                is_discarding: false,
                wants_window: false,
            }),
        }))
    }

    /// Closes connections that take longer than `timeouts` returns.
    pub async fn close_late(self, timeouts: impl Fn() -> Timeouts) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let timeouts = timeouts();
            let mut state = self.state();
            let late = state.register.tick(|stage| timeouts.ticks(stage));
            state.close(&late);
            state.late += late.len() as u64;
            self.0.metrics.closed_late.inc_by(late.len() as u64);
            self.log(&mut state);
        }
    }

    /// Writes a line if connections were closed.
    fn log(&self, state: &mut State) {
        let (closed, late) = (
            std::mem::take(&mut state.closed),
            std::mem::take(&mut state.late),
        );
        if closed + late > 0 {
            log::warn!(
                listener = self.0.listener, closed, late, open = state.register.len(),
                bytes = state.register.bytes();
                "connections of clients closed: for others, or since they took too long"
            );
        }
    }

    /// The state, with the limit of memory that large requests leave.
    fn limited_state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state();
        if let Some((shares, requests)) = &self.0.shared {
            let bytes = shares.connections(requests.held());
            state.register.set_max_bytes(bytes);
        }
        state
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes connections for others, and counts them.
    fn record(&self, state: &mut State, outcome: &Outcome) {
        state.close(&outcome.closed);
        let count = outcome.closed.len() + usize::from(!outcome.is_kept);
        state.closed += count as u64;
        let metrics = &self.0.metrics;
        metrics.closed_for_others.inc_by(count as u64);
        metrics.set(state.register.len(), state.register.bytes());
    }
}

/// A connection of a client. Dropping it removes the connection.
#[derive(Debug)]
pub struct Client {
    clients: Clients,
    connection: Connection,
    closed: Arc<Notify>,
    activity: Mutex<Activity>,
}

#[derive(Debug)]
struct Activity {
    stage: Stage,
    /// Memory of the request beyond that of the connection.
    request_bytes: u64,
    /// Whether bytes wait for the client.
    is_blocked: bool,
    /// Whether the rest of a refused request is discarded.
    is_discarding: bool,
    /// Whether a large body is about to be read.
    wants_window: bool,
}

impl Client {
    /// Completes when the connection is to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Records that bytes have arrived, of a head of at most `head_bytes` if no request is served.
    /// Returns whether the connection is kept.
    pub fn record_read(&self, head_bytes: usize) -> bool {
        let mut activity = self.activity();
        if !matches!(activity.stage, Stage::New | Stage::Idle) {
            return true;
        }
        activity.stage = Stage::Head;
        activity.request_bytes = head_bytes as u64;
        self.apply(&activity)
    }

    /// Records that a request that takes `bytes` is received or served. Returns whether there is
    /// memory for it.
    #[must_use]
    pub fn begin(&self, stage: Stage, bytes: u64) -> bool {
        let mut activity = self.activity();
        activity.stage = stage;
        activity.request_bytes = bytes;
        self.apply(&activity)
    }

    /// Records that the response has been handed over to the connection.
    fn end(&self) {
        let mut activity = self.activity();
        activity.stage = if activity.is_discarding {
            Stage::Discarding
        } else {
            Stage::Idle
        };
        activity.request_bytes = 0;
        if !self.apply(&activity) {
            self.closed.notify_one();
        }
    }

    /// Records whether the response of a request, which may be sent again, waits for memory.
    pub fn set_waiting(&self, is_waiting: bool) {
        let mut activity = self.activity();
        activity.stage = if is_waiting {
            Stage::Waiting
        } else {
            Stage::Busy
        };
        if !self.apply(&activity) {
            self.closed.notify_one();
        }
    }

    /// Whether the connection has not been closed for others, or since it took too long.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.clients.state().signals.contains_key(&self.connection)
    }

    /// Records whether the rest of a refused request is discarded.
    pub fn set_discarding(&self, is_discarding: bool) {
        let mut activity = self.activity();
        activity.is_discarding = is_discarding;
        if activity.stage == Stage::Discarding && !is_discarding {
            activity.stage = Stage::Idle;
            self.apply(&activity);
        }
    }

    /// Records whether the kernel's buffer for the client is full. Returns whether the connection is
    /// kept.
    pub fn set_blocked(&self, is_blocked: bool) -> bool {
        let mut activity = self.activity();
        if activity.is_blocked == is_blocked {
            return true;
        }
        activity.is_blocked = is_blocked;
        self.apply(&activity)
    }

    /// Asks for a larger receive buffer, since a large body is about to be read.
    pub fn request_window(&self) {
        self.activity().wants_window = true;
    }

    /// Whether a larger receive buffer is wanted. Returns `true` once.
    pub fn take_window_request(&self) -> bool {
        std::mem::take(&mut self.activity().wants_window)
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, activity: &Activity) -> bool {
        let mut stage = activity.stage;
        let mut bytes = CONNECTION_BYTES + activity.request_bytes;
        if activity.is_blocked {
            stage = Stage::Blocked;
            bytes += self.clients.0.unread_bytes;
        }
        let mut all = self.clients.limited_state();
        let outcome = all.register.set(self.connection, stage, bytes);
        self.clients.record(&mut all, &outcome);
        if !outcome.is_kept {
            all.signals.remove(&self.connection);
        }
        outcome.is_kept
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.clients.state();
        state.register.close(self.connection);
        state.signals.remove(&self.connection);
    }
}

/// A body whose end is the end of its request.
#[derive(Debug)]
pub struct Served<B> {
    body: B,
    client: Arc<Client>,
}

impl<B> Served<B> {
    /// Wraps the body of a response to `client`.
    pub const fn new(body: B, client: Arc<Client>) -> Self {
        Self { body, client }
    }
}

impl<B: Body + Unpin> Body for Served<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Served<B> {
    fn drop(&mut self) {
        self.client.end();
    }
}
