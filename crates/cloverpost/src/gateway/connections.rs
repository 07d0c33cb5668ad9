//! Limits on the connections to upstreams, and the requests that wait for one.
//!
//! A [`Permit`] counts a connection from before the connect until its socket is closed. Whatever ends
//! it, another request gets the place: the one that waits with the highest priority.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cloverpost_core::connections::{Bound, Decision, Demand, Queue, Register, Ticket};
use cloverpost_core::directory::{self, View};
use cloverpost_core::{id, time};
use prometheus::IntGauge;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::pool::Connection;

/// Log line of a reset that reduces a bound.
pub const REDUCED: &str = "the bound on connections is reduced";

/// Connections of this VM to upstreams, and the requests that wait for one. Clones refer to the same
/// state.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    /// Number of open connections.
    open: IntGauge,
    /// Number of VMs of the zone, which report their loads to each other.
    reporters: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    register: Register,
    queues: HashMap<id::Upstream, Queue<oneshot::Sender<Grant>>>,
    /// Services whose maximum was found to be unusual, with it.
    unusual: HashMap<id::Pool, u32>,
}

/// What a request without a connection gets.
#[derive(Debug)]
pub enum Grant {
    /// A connection that another request has returned.
    Connection(Connection),
    /// Leave to open one.
    Permit(Permit),
}

/// Counts a connection until all clones are dropped.
#[derive(Clone, Debug)]
pub struct Permit {
    _guard: Arc<Guard>,
    /// When the permit was given.
    pub since: time::Moment,
}

#[derive(Debug)]
struct Guard {
    connections: Connections,
    upstream: id::Upstream,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.0.open.dec();
        let connections = &self.connections;
        connections.state().register.record_closed(&self.upstream);
        self.connections.grant(&self.upstream);
    }
}

/// A request in the queue of an upstream. Dropping it removes the request.
#[derive(Debug)]
pub struct Waiting {
    connections: Connections,
    upstream: id::Upstream,
    ticket: Ticket,
    grant: oneshot::Receiver<Grant>,
}

impl Waiting {
    /// Waits until the request gets a connection or leave to open one.
    pub async fn granted(&mut self) -> Option<Grant> {
        (&mut self.grant).await.ok()
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        if let Some(queue) = state.queues.get_mut(&self.upstream) {
            queue.remove(self.ticket);
            if queue.is_empty() {
                state.queues.remove(&self.upstream);
            }
        }
    }
}

/// Result of a request for a connection.
#[derive(Debug)]
pub enum Request {
    /// Leave to open a connection.
    Permit(Permit),
    /// A connection has to be closed first, if there is an idle one.
    Waiting(Waiting, Decision),
}

impl Connections {
    /// Creates the state without connections. `open` is the gauge of open connections.
    #[must_use]
    pub fn new(clock: Clock, open: IntGauge) -> Self {
        Self(Arc::new(Inner {
            clock,
            open,
            reporters: AtomicU32::new(1),
            state: Mutex::default(),
        }))
    }

    /// Asks for leave to open a connection to `upstream`, with `idle` connections that the request
    /// cannot use.
    #[must_use]
    pub fn request(&self, upstream: &id::Upstream, idle: usize, priority: u8) -> Request {
        self.grant(upstream);
        let now = self.0.clock.now();
        let mut state = self.state();
        let decision = state.register.decide(upstream, idle, now);
        if decision == Decision::Open {
            return Request::Permit(self.permit(&mut state, upstream, now));
        }
        let (sender, grant) = oneshot::channel();
        let queue = state.queues.entry(upstream.clone()).or_default();
        let ticket = queue.push(priority, sender);
        let waiting = Waiting {
            connections: self.clone(),
            upstream: upstream.clone(),
            ticket,
            grant,
        };
        Request::Waiting(waiting, decision)
    }

    /// Leave to open a connection to `upstream` that serves no request; `None` if requests need all
    /// that are left.
    #[must_use]
    pub fn request_for_check(&self, upstream: &id::Upstream) -> Option<Permit> {
        let now = self.0.clock.now();
        let mut state = self.state();
        let is_free = state.register.has_spare_capacity(upstream, now);
        is_free.then(|| self.permit(&mut state, upstream, now))
    }

    /// Counts a connection to `upstream` without a limit.
    #[must_use]
    pub fn count(&self, upstream: &id::Upstream) -> Permit {
        let now = self.0.clock.now();
        self.permit(&mut self.state(), upstream, now)
    }

    /// Gives `connection` to the request that waits for `upstream` with the highest priority. Returns
    /// the connection if none does.
    #[must_use]
    pub fn offer(&self, upstream: &id::Upstream, connection: Connection) -> Option<Connection> {
        let mut grant = Grant::Connection(connection);
        while let Some(request) = self.pop(upstream) {
            match request.send(grant) {
                Ok(()) => return None,
                Err(refused) => grant = refused,
            }
        }
        match grant {
            Grant::Connection(connection) => Some(connection),
            Grant::Permit(_) => None,
        }
    }

    /// Lets requests that wait for `upstream` open connections as far as the limit allows.
    pub fn grant(&self, upstream: &id::Upstream) {
        loop {
            let now = self.0.clock.now();
            let mut state = self.state();
            if !state.register.has_capacity(upstream, now) {
                return;
            }
            let queue = state.queues.get_mut(upstream);
            let Some(request) = queue.and_then(Queue::pop) else {
                return;
            };
            let permit = self.permit(&mut state, upstream, now);
            // A permit that is refused is dropped, which takes the lock.
            drop(state);
            let _ = request.send(Grant::Permit(permit));
        }
    }

    /// Lets waiting requests open connections where limits have recovered. Returns the upstreams whose
    /// limits are whole again.
    #[must_use]
    pub fn recover(&self) -> Vec<id::Upstream> {
        let now = self.0.clock.now();
        let (restored, waited_for) = {
            let mut state = self.state();
            let waited_for: Vec<_> = state.queues.keys().cloned().collect();
            (state.register.take_restored(now), waited_for)
        };
        for upstream in waited_for {
            self.grant(&upstream);
        }
        restored
    }

    /// Upstreams with a connection.
    fn used(&self) -> HashSet<id::Upstream> {
        self.state().register.used().cloned().collect()
    }

    /// Sets the bound on connections to `upstream`.
    pub fn set_bound(&self, upstream: &id::Upstream, bound: Bound) {
        self.state().register.set_bound(upstream, bound);
    }

    /// Records that `upstream` reset a connection that was opened with a permit of `since`. Returns
    /// the new limit if that reduces it.
    #[must_use]
    pub fn record_reset(&self, upstream: &id::Upstream, since: time::Moment) -> Option<usize> {
        let now = self.0.clock.now();
        self.state().register.record_reset(upstream, since, now)
    }

    /// Whether the limit of `upstream` is reduced.
    #[must_use]
    pub fn is_reduced(&self, upstream: &id::Upstream) -> bool {
        let now = self.0.clock.now();
        self.state().register.is_reduced(upstream, now)
    }

    /// Whether idle connections to `upstream` should make room.
    #[must_use]
    pub fn is_scarce(&self, upstream: &id::Upstream) -> bool {
        let now = self.0.clock.now();
        self.state().register.is_scarce(upstream, now)
    }

    /// Whether a connection to `upstream` may be opened.
    #[must_use]
    pub fn has_capacity(&self, upstream: &id::Upstream) -> bool {
        let now = self.0.clock.now();
        self.state().register.has_capacity(upstream, now)
    }

    /// Open connections to `upstream` and the limit in force, for the log.
    #[must_use]
    pub fn status(&self, upstream: &id::Upstream) -> (usize, Option<usize>) {
        let now = self.0.clock.now();
        let state = self.state();
        let limit = state.register.limit(upstream, now);
        (state.register.open(upstream), limit)
    }

    /// Forgets the resets of the earlier process of `upstream`.
    pub fn restart(&self, upstream: &id::Upstream) {
        self.state().register.restart(upstream);
    }

    /// Drops the upstreams without a connection that are not in `view`.
    pub fn retain(&self, view: &View) {
        self.state().register.retain(view);
    }

    fn pop(&self, upstream: &id::Upstream) -> Option<oneshot::Sender<Grant>> {
        self.state().queues.get_mut(upstream)?.pop()
    }

    fn permit(&self, state: &mut State, upstream: &id::Upstream, now: time::Moment) -> Permit {
        state.register.record_open(upstream);
        self.0.open.inc();
        let guard = Guard {
            connections: self.clone(),
            upstream: upstream.clone(),
        };
        Permit {
            _guard: Arc::new(guard),
            since: now,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Updates the bound on connections to `upstream` from the configuration, the fleet and the demand.
pub fn update_bound<C: Codec>(shared: &Shared<C>, upstream: &directory::Upstream) {
    let view = shared.view.load();
    let service = view.index.as_ref();
    let service = service.and_then(|index| index.service(&upstream.service));
    let maximum = service.map_or(0, |service| service.max_connections);
    let bound = Bound::new(maximum, shared.fleet(), &demand(shared, &upstream.id));
    shared.pool.connections().set_bound(&upstream.id, bound);
}

fn demand<C: Codec>(shared: &Shared<C>, upstream: &id::Upstream) -> Demand {
    let reporters = &shared.pool.connections().0.reporters;
    let now = shared.clock.now();
    let balancer = shared.balancer();
    Demand {
        own: balancer.in_flight(upstream),
        peers: balancer.in_flight_of_peers(upstream, now),
        reporters: reporters.load(Ordering::Relaxed),
    }
}

/// Counts the VMs of the zone, which is too slow for each request.
fn count_reporters<C: Codec>(shared: &Shared<C>) {
    let settings = shared.settings.load();
    let peers = shared.peers.load();
    let zone = peers.iter().filter(|member| member.zone == settings.zone);
    let count = u32::try_from(zone.count() + 1).unwrap_or(u32::MAX);
    let reporters = &shared.pool.connections().0.reporters;
    reporters.store(count, Ordering::Relaxed);
}

/// Updates the bounds, closes idle connections that occupy scarce capacity and lets waiting requests
/// open connections where limits have recovered.
pub fn tick<C: Codec>(shared: &Shared<C>) {
    let view = shared.view.load();
    count_reporters(shared);
    let used = shared.pool.connections().used();
    if !used.is_empty() {
        let upstreams = view.upstreams().filter(|one| used.contains(&one.id));
        upstreams.for_each(|upstream| update_bound(shared, upstream));
    }
    shared.pool.close_scarce();
    for upstream in shared.pool.connections().recover() {
        log_change(shared, &upstream, "the bound on connections is whole again");
    }
    warn_of_unusual(shared, &view);
}

/// Logs `change` of the bound on connections to `upstream`.
pub fn log_change<C: Codec>(shared: &Shared<C>, upstream: &id::Upstream, change: &str) {
    let (open, limit) = shared.pool.connections().status(upstream);
    let idle = shared.pool.count_idle(upstream);
    log::info!(
        upstream = upstream.as_str(), open, idle, bound:? = limit, fleet:% = shared.fleet();
        "{change}"
    );
}

/// Warns, once for each value, of services whose maximum of connections is absent, 0 or below the number
/// of VMs.
fn warn_of_unusual<C: Codec>(shared: &Shared<C>, view: &View) {
    let Some(index) = &view.index else {
        return;
    };
    let fleet = shared.fleet();
    let mut found = Vec::new();
    {
        let mut state = shared.pool.connections().state();
        let listed: HashSet<_> = index.services().map(|service| &service.name).collect();
        state.unusual.retain(|name, _| listed.contains(name));
        for service in index.services() {
            let maximum = service.max_connections;
            if maximum != u32::MAX && maximum >= fleet.vms().max(1) {
                state.unusual.remove(&service.name);
            } else if state.unusual.insert(service.name.clone(), maximum) != Some(maximum) {
                found.push((service.name.clone(), maximum));
            }
        }
    }
    for (service, maximum) in found {
        let bound = if maximum == 0 {
            "none"
        } else {
            "one of each VM"
        };
        log::warn!(
            service = service.as_str(), maximum, fleet:%, bound;
            "the maximum of connections is 0 or below the number of VMs"
        );
    }
}
