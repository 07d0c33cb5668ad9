//! The connections and what they hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::clients::{Connection, Limits, Order, Stage};

/// Part of the limits that idle connections may take before the oldest of them is closed first: three
/// quarters. Clients that send requests without end would leave no room for new ones.
const IDLE_FACTOR: u64 = 3;
const IDLE_DIVISOR: u64 = 4;

/// What follows a change of a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The connections that are closed to make room, without the changed one.
    pub closed: Vec<Connection>,
    /// Whether the changed connection is kept. It is removed otherwise.
    pub is_kept: bool,
}

/// The connections and what they hold.
#[derive(Clone, Debug)]
pub struct Register {
    limits: Limits,
    order: Order,
    next: Connection,
    connections: BTreeMap<Connection, Holding>,
    /// The connections that may be closed and are not idle, in that order.
    active: BTreeSet<Rank>,
    /// The idle connections, in the order in which they are closed.
    idle: BTreeSet<Rank>,
    idle_bytes: u64,
    bytes: u64,
    /// Number of changes of stages.
    changes: u64,
    ticks: u64,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    stage: Stage,
    bytes: u64,
    /// Orders the connections of a stage.
    change: u64,
    since: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// When the connection entered its stage, in ticks, and the grace of the stage.
    age: u64,
    change: u64,
    connection: Connection,
}

impl Register {
    /// Creates an empty register.
    #[must_use]
    pub fn new(limits: Limits, order: Order) -> Self {
        Self {
            limits,
            order,
            next: Connection::default(),
            connections: BTreeMap::new(),
            active: BTreeSet::new(),
            idle: BTreeSet::new(),
            idle_bytes: 0,
            bytes: 0,
            changes: 0,
            ticks: 0,
        }
    }

    /// Sets the limit of memory, which the next change of a connection applies.
    pub const fn set_max_bytes(&mut self, bytes: u64) {
        self.limits.bytes = bytes;
    }

    /// Number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether the maximum number of connections is reached.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.limits.connections
    }

    /// Memory of all connections, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a connection that holds `bytes`.
    pub fn open(&mut self, bytes: u64) -> (Connection, Outcome) {
        let connection = self.next;
        self.next = connection.next();
        let mut closed = Vec::new();
        while self.is_full() {
            let Some(first) = self.close_first() else {
                let is_kept = false;
                return (connection, Outcome { closed, is_kept });
            };
            closed.push(first);
        }
        let holding = Holding {
            stage: Stage::New,
            bytes,
            change: self.next_change(),
            since: self.ticks,
        };
        self.insert(connection, holding);
        (connection, self.make_room(connection, closed))
    }

    /// Records that `connection` is in `stage` and holds `bytes`. A connection that has been closed
    /// is not kept.
    pub fn set(&mut self, connection: Connection, stage: Stage, bytes: u64) -> Outcome {
        let Some(mut holding) = self.remove(connection) else {
            return Outcome::default();
        };
        if holding.stage != stage {
            holding.stage = stage;
            holding.since = self.ticks;
            holding.change = self.next_change();
        }
        holding.bytes = bytes;
        self.insert(connection, holding);
        self.make_room(connection, Vec::new())
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, connection: Connection) {
        self.remove(connection);
    }

    /// Counts an interval of time and closes the connections that have been in a stage
    /// for more intervals than `limit` allows. Intervals of a suspended process are not counted, since
    /// what arrived meanwhile is not read yet.
    pub fn tick(&mut self, limit: impl Fn(Stage) -> Option<u64>) -> Vec<Connection> {
        self.ticks += 1;
        let now = self.ticks;
        let is_late = |holding: &Holding| {
            let limit = limit(holding.stage);
            limit.is_some_and(|limit| now - holding.since > limit)
        };
        let late = self.connections.iter();
        let late = late.filter(|(_, holding)| is_late(holding));
        let late: Vec<_> = late.map(|(connection, _)| *connection).collect();
        for connection in &late {
            self.remove(*connection);
        }
        late
    }

    /// Closes connections until the limit of memory is kept: `connection` itself only if it is the
    /// first in order, or if no other can be closed.
    fn make_room(&mut self, connection: Connection, mut closed: Vec<Connection>) -> Outcome {
        while self.bytes > self.limits.bytes {
            match self.close_first() {
                Some(first) if first != connection => closed.push(first),
                _ => {
                    self.remove(connection);
                    let is_kept = false;
                    return Outcome { closed, is_kept };
                }
            }
        }
        let is_kept = true;
        Outcome { closed, is_kept }
    }

    const fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    fn close_first(&mut self) -> Option<Connection> {
        let (active, idle) = (self.active.first(), self.idle.first());
        let first = match idle {
            Some(idle) if self.has_too_many_idle() => Some(idle),
            _ => active.into_iter().chain(idle).min(),
        };
        let first = first?.connection;
        self.remove(first);
        Some(first)
    }

    /// Whether idle connections leave too little room for new ones.
    fn has_too_many_idle(&self) -> bool {
        let is_over = |idle, max| idle * IDLE_DIVISOR > max * IDLE_FACTOR;
        is_over(self.idle.len() as u64, self.limits.connections as u64)
            || is_over(self.idle_bytes, self.limits.bytes)
    }

    fn insert(&mut self, connection: Connection, holding: Holding) {
        let rank = holding.rank(connection, self.order);
        if holding.stage == Stage::Idle {
            self.idle.insert(rank);
            self.idle_bytes += holding.bytes;
        } else if holding.stage.may_close() {
            self.active.insert(rank);
        }
        self.bytes += holding.bytes;
        self.connections.insert(connection, holding);
    }

    fn remove(&mut self, connection: Connection) -> Option<Holding> {
        let holding = self.connections.remove(&connection)?;
        let rank = holding.rank(connection, self.order);
        if self.idle.remove(&rank) {
            self.idle_bytes -= holding.bytes;
        } else {
            self.active.remove(&rank);
        }
        self.bytes -= holding.bytes;
        Some(holding)
    }
}

impl Holding {
    const fn rank(&self, connection: Connection, order: Order) -> Rank {
        let (age, change) = match order {
            Order::Stage => (self.since + self.stage.grace(), self.change),
            Order::Arrival => (0, 0),
        };
        Rank {
            age,
            change,
            connection,
        }
    }
}
