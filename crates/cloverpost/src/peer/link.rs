//! Outbound link to one peer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cloverpost_wire::{Frame, Message};
use tokio::sync::{self, Notify, Semaphore};
use tokio::time::{self, Instant};

use crate::peer::backoff::Backoff;
use crate::peer::connect::Connection;
use crate::peer::path::Path;
use crate::peer::shared::{Purpose, Shared};
use crate::peer::tunnel::{self, Liveness, Tunnel};
use crate::peer::{Error, Target};

/// Maximum number of gossip messages in flight to a peer.
const MAX_CONCURRENT_GOSSIP: usize = 8;

/// Outbound link to one peer: its connection, if open, and its gossip queue.
pub struct Link {
    pub target: Target,
    pub purpose: Purpose,
    shared: Arc<Shared>,
    gossip_queue: Mutex<VecDeque<Frame>>,
    gossip_queued: Notify,
    stopped: Notify,
    gossip_permits: Arc<Semaphore>,
    call_permits: Arc<Semaphore>,
    state: sync::Mutex<ConnectionState>,
    last_used: Mutex<Instant>,
}

#[derive(Default)]
struct ConnectionState {
    connection: Option<Arc<Connection>>,
    backoff: Backoff,
}

impl Link {
    /// Creates a link, which connects on the first message.
    pub fn new(target: Target, purpose: Purpose, shared: Arc<Shared>) -> Self {
        Self {
            target,
            purpose,
            gossip_queue: Mutex::default(),
            gossip_queued: Notify::new(),
            stopped: Notify::new(),
            gossip_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_GOSSIP)),
            call_permits: Arc::new(Semaphore::new(shared.options.max_calls)),
            state: sync::Mutex::default(),
            last_used: Mutex::new(Instant::now()),
            shared,
        }
    }

    /// Queues gossip. A full queue drops its oldest message, since newer gossip
    /// supersedes it.
    pub fn enqueue_gossip(&self, frame: Frame) {
        self.touch();
        let mut queue = lock(&self.gossip_queue);
        if queue.len() >= self.shared.options.gossip_capacity {
            queue.pop_front();
            self.shared.counters.dropped_oldest.increment();
        }
        queue.push_back(frame);
        self.gossip_queued.notify_one();
    }

    /// Acquires a permit for a call; fails if too many calls are in flight.
    pub fn acquire_call_permit(&self) -> Result<sync::OwnedSemaphorePermit, Error> {
        self.touch();
        self.call_permits.clone().try_acquire_owned().map_err(|_| {
            self.shared.counters.refused_full.increment();
            Error::TooManyCalls
        })
    }

    /// Sends queued gossip until the link is idle or stopped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let idle_at = self.last_used() + self.shared.options.idle_timeout;
            tokio::select! {
                () = self.gossip_queued.notified() => self.send_queued().await,
                () = self.stopped.notified() => return,
                () = time::sleep_until(idle_at) => {
                    if self.shared.remove_if_idle(&self) {
                        return;
                    }
                    // Still in use: restart the idle timeout.
                    self.touch();
                }
            }
        }
    }

    /// Ends [`Self::run`].
    pub fn stop(&self) {
        self.stopped.notify_one();
    }

    /// Whether the link has been idle for the idle timeout.
    pub fn is_idle_timed_out(&self) -> bool {
        self.is_idle() && self.last_used().elapsed() >= self.shared.options.idle_timeout
    }

    /// Whether no message is queued or in flight.
    pub fn is_idle(&self) -> bool {
        lock(&self.gossip_queue).is_empty()
            && self.gossip_permits.available_permits() == MAX_CONCURRENT_GOSSIP
            && self.call_permits.available_permits() == self.shared.options.max_calls
    }

    /// When the link was last given a message.
    pub fn last_used(&self) -> Instant {
        *lock(&self.last_used)
    }

    /// Sends one message and waits for the acknowledgement or the response.
    pub async fn call(&self, path: Path, frame: &Frame) -> Result<Option<Message>, Error> {
        let result = self.call_with_faults(path, frame).await;
        match &result {
            Ok(_) => self.shared.counters.sent.increment(),
            Err(Error::TimedOut) => self.shared.counters.timed_out.increment(),
            Err(_) => {}
        }
        result
    }

    /// Opens a tunnel and returns it with the liveness of the link.
    pub async fn open_tunnel(&self, frame: &Frame) -> Result<(Tunnel, Liveness), tunnel::Error> {
        let connection = self.connect().await?;
        let opening = time::timeout(
            self.shared.options.message_timeout,
            connection.open_tunnel(frame),
        );
        let opened = opening
            .await
            .unwrap_or(Err(tunnel::Error::Peer(Error::TimedOut)));
        let outcome = match &opened {
            Err(tunnel::Error::Peer(error)) => Err(error.clone()),
            Ok(_) | Err(tunnel::Error::Rejected(_)) => Ok(None),
        };
        self.record_outcome(&connection, &outcome).await;
        Ok((opened?, connection.liveness()))
    }

    async fn call_with_faults(&self, path: Path, frame: &Frame) -> Result<Option<Message>, Error> {
        let options = &self.shared.options;
        let outbound = options.faults.next_effect(&options.vm, &self.target.vm);
        if !outbound.delay.is_zero() {
            time::sleep(outbound.delay).await;
        }
        if outbound.lost {
            return self.simulate_loss().await;
        }
        if outbound.duplicated {
            let _ = self.transmit(path, frame).await;
        }
        let response = self.transmit(path, frame).await?;
        let inbound = options.faults.next_effect(&self.target.vm, &options.vm);
        if inbound.lost {
            return self.simulate_loss().await;
        }
        Ok(response)
    }

    /// Waits for the message timeout, as the sender of a lost message would.
    async fn simulate_loss(&self) -> Result<Option<Message>, Error> {
        time::sleep(self.shared.options.message_timeout).await;
        Err(Error::TimedOut)
    }

    async fn transmit(&self, path: Path, frame: &Frame) -> Result<Option<Message>, Error> {
        let connection = self.connect().await?;
        let exchange = connection.exchange(path, frame);
        let result = time::timeout(self.shared.options.message_timeout, exchange)
            .await
            .unwrap_or(Err(Error::TimedOut));
        self.record_outcome(&connection, &result).await;
        result
    }

    /// Returns the open connection, or opens one.
    async fn connect(&self) -> Result<Arc<Connection>, Error> {
        let mut state = self.state.lock().await;
        if let Some(connection) = state.connection.as_ref().filter(|open| !open.is_closed()) {
            return Ok(connection.clone());
        }
        state.connection = None;
        if state.backoff.is_active() {
            return Err(Error::BackingOff);
        }
        let opening = Connection::open(self.shared.clone(), self.target.clone(), self.purpose);
        let opened = self.shared.runtime.spawn(opening).await;
        match opened.unwrap_or(Err(Error::Closed)) {
            Ok(connection) => Ok(state.connection.insert(Arc::new(connection)).clone()),
            Err(error) => {
                state.backoff.record_failure(&mut rand::rng());
                Err(error)
            }
        }
    }

    /// Resets the backoff after a success; drops the connection after an error that
    /// breaks the link.
    async fn record_outcome(
        &self,
        used: &Arc<Connection>,
        result: &Result<Option<Message>, Error>,
    ) {
        let mut state = self.state.lock().await;
        match result {
            Ok(_) => state.backoff.reset(),
            Err(error) if error.breaks_link() => {
                let is_current = state
                    .connection
                    .as_ref()
                    .is_some_and(|current| Arc::ptr_eq(current, used));
                if is_current {
                    state.connection = None;
                    state.backoff.record_failure(&mut rand::rng());
                }
            }
            Err(_) => {}
        }
    }

    /// Sends all queued gossip.
    async fn send_queued(self: &Arc<Self>) {
        loop {
            // The semaphore is never closed.
            let Ok(permit) = self.gossip_permits.clone().acquire_owned().await else {
                return;
            };
            let Some(frame) = lock(&self.gossip_queue).pop_front() else {
                return;
            };
            let link = self.clone();
            self.shared.spawn(async move {
                if link.call(Path::OneWay, &frame).await.is_err() {
                    link.shared.counters.lost.increment();
                }
                drop(permit);
            });
        }
    }

    /// Restarts the idle timeout.
    fn touch(&self) {
        *lock(&self.last_used) = Instant::now();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
