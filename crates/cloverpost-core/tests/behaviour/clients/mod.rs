//! Connections of clients, bounded in number and memory.

use std::collections::HashMap;

use cloverpost_core::clients::{Connection, Limits, Order, PENDING_BYTES, Register, Shares, Stage};
use proptest::prelude::*;
use rstest::rstest;

const NEW_BYTES: u64 = 4;
const LIMITS: Limits = Limits {
    connections: 10,
    bytes: 100,
};

fn open(register: &mut Register) -> Connection {
    let (connection, outcome) = register.open(NEW_BYTES);
    assert!(outcome.is_kept);
    connection
}

// Guards against clients that connect and send nothing, and so keep others from connecting.
#[test]
fn the_oldest_of_too_many_silent_connections_is_closed() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let connections: Vec<_> = (0..10).map(|_| open(&mut register)).collect();
    let (_, outcome) = register.open(NEW_BYTES);
    assert!(outcome.is_kept);
    assert_eq!(outcome.closed, [connections[0]]);
    assert_eq!(register.len(), 10);
}

// Guards against closing the connection of a caller that sends its request at once, beside clients that
// send slowly.
#[rstest]
#[case::heads(Stage::Head)]
#[case::bodies(Stage::Body)]
#[case::discarded(Stage::Discarding)]
#[case::unread(Stage::Blocked)]
#[case::waiting(Stage::Waiting)]
fn a_slow_client_is_closed_before_one_that_has_just_connected(#[case] stage: Stage) {
    let mut register = Register::new(LIMITS, Order::Stage);
    let slow: Vec<_> = (0..4).map(|_| open(&mut register)).collect();
    for connection in &slow {
        assert!(register.set(*connection, stage, 20).is_kept);
    }
    let new = open(&mut register);
    let outcome = register.set(new, Stage::Body, 40);
    assert!(outcome.is_kept);
    assert_eq!(outcome.closed, [slow[0]]);
}

// Guards against clients that send nothing and displace those that have been served.
#[test]
fn a_connection_that_has_served_a_request_outlasts_newer_ones() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let idle = open(&mut register);
    assert!(register.set(idle, Stage::Busy, 10).is_kept);
    assert!(register.set(idle, Stage::Idle, 5).is_kept);
    for _ in 0..9 {
        assert!(register.tick(|_| None).is_empty());
    }
    for _ in 0..50 {
        let (_, outcome) = register.open(NEW_BYTES);
        assert!(!outcome.closed.contains(&idle));
    }
}

// Guards against cutting requests that are being served.
#[test]
fn a_connection_that_serves_a_request_is_not_closed_for_others() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let busy: Vec<_> = (0..10).map(|_| open(&mut register)).collect();
    for connection in &busy {
        assert!(register.set(*connection, Stage::Busy, 10).is_kept);
    }
    let (_, outcome) = register.open(NEW_BYTES);
    assert!(!outcome.is_kept);
    assert!(outcome.closed.is_empty());
    // One that grows beyond the limit is itself the one without room.
    let outcome = register.set(busy[0], Stage::Busy, 11);
    assert!(!outcome.is_kept);
    assert!(outcome.closed.is_empty());
}

// Guards against heads that take for ever, and against closing one within its time.
#[test]
fn a_stage_ends_after_its_time() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let (head, silent) = (open(&mut register), open(&mut register));
    assert!(register.set(head, Stage::Head, 20).is_kept);
    let limit = |stage| match stage {
        Stage::Head => Some(2),
        Stage::New => Some(4),
        _ => None,
    };
    let mut late = Vec::new();
    for tick in 1..=6 {
        for connection in register.tick(limit) {
            late.push((connection, tick));
        }
    }
    assert_eq!(late, [(head, 3), (silent, 5)]);
    assert!(register.is_empty());
}

// Guards against parts of the memory that together exceed it, or leave nothing for the process.
#[rstest]
#[case::smallest(88)]
#[case::unknown(0)]
#[case::large(4096)]
fn the_shares_leave_memory_for_the_process(#[case] megabytes: u32) {
    let shares = Shares::of_memory(megabytes);
    let memory = u64::from(if megabytes == 0 { 128 } else { megabytes }) * 1_000_000;
    for held in [0, shares.requests / 3, shares.requests / 2, shares.requests] {
        let pending = u64::from(shares.backlog(u32::MAX)) * u64::from(PENDING_BYTES);
        let sum = shares.connections(held) + held + shares.responses + pending;
        assert!(sum * 4 <= memory * 3, "{shares:?}");
        assert!(shares.connections(held) * 8 >= memory);
    }
    // The largest body and the largest response have room.
    assert!(shares.requests >= 4 * 1024 * 1024 && shares.responses >= 8 * 1024 * 1024);
}

// Guards against a limit that stays above what is left beside large requests.
#[test]
fn a_lower_limit_applies_at_the_next_change() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let connections: Vec<_> = (0..4).map(|_| open(&mut register)).collect();
    for connection in &connections {
        assert!(register.set(*connection, Stage::Head, 20).is_kept);
    }
    register.set_max_bytes(50);
    let outcome = register.set(connections[3], Stage::Busy, 20);
    assert!(outcome.is_kept);
    assert_eq!(outcome.closed, [connections[0], connections[1]]);
}

// Guards against clients that send requests without end, and so keep others from connecting.
#[test]
fn idle_connections_leave_room_for_new_ones() {
    let mut register = Register::new(LIMITS, Order::Stage);
    let idle: Vec<_> = (0..10).map(|_| open(&mut register)).collect();
    for connection in &idle {
        assert!(register.set(*connection, Stage::Busy, 5).is_kept);
        assert!(register.set(*connection, Stage::Idle, 5).is_kept);
    }
    let new: Vec<_> = (0..3).map(|_| register.open(NEW_BYTES)).collect();
    let closed: Vec<_> = new
        .iter()
        .flat_map(|(_, outcome)| &outcome.closed)
        .collect();
    assert_eq!(closed, [&idle[0], &idle[1], &idle[2]]);
    for (connection, _) in new {
        assert!(register.set(connection, Stage::Busy, 5).is_kept);
    }
}

// Guards against clients that keep others from connecting by requests without end or unread responses.
#[rstest]
#[case::idle(Stage::Idle)]
#[case::unread(Stage::Blocked)]
#[case::new_head(Stage::Head)]
fn connections_are_closed_in_order_of_arrival(#[case] stage: Stage) {
    let mut register = Register::new(LIMITS, Order::Arrival);
    let first: Vec<_> = (0..10).map(|_| open(&mut register)).collect();
    for connection in &first[..9] {
        assert!(register.set(*connection, Stage::Busy, 5).is_kept);
        assert!(register.set(*connection, stage, 5).is_kept);
    }
    let (_, outcome) = register.open(NEW_BYTES);
    assert!(outcome.is_kept);
    assert_eq!(outcome.closed, [first[0]]);
}

/// An event of a connection.
#[derive(Clone, Copy, Debug)]
enum Event {
    Open,
    Set(usize, Stage, u64),
    Close(usize),
    Tick,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let stage = prop::sample::select(vec![
        Stage::New,
        Stage::Head,
        Stage::Body,
        Stage::Busy,
        Stage::Discarding,
        Stage::Blocked,
        Stage::Waiting,
        Stage::Idle,
    ]);
    let event = prop_oneof![
        4 => Just(Event::Open),
        4 => (0..40_usize, stage, 0..40_u64).prop_map(|(index, stage, bytes)| Event::Set(index, stage, bytes)),
        1 => (0..40_usize).prop_map(Event::Close),
        1 => Just(Event::Tick),
    ];
    prop::collection::vec(event, 0..200)
}

proptest! {
    // Guards against limits that are exceeded, requests that are cut for others, and connections that
    // are closed but not named, which would stay open.
    #[test]
    fn limits_hold_and_each_closed_connection_is_named(events in events()) {
        let mut register = Register::new(LIMITS, Order::Stage);
        let mut all = Vec::new();
        let mut kept = HashMap::new();
        for event in events {
            let closed = match event {
                Event::Open => {
                    let (connection, outcome) = register.open(NEW_BYTES);
                    all.push(connection);
                    if outcome.is_kept {
                        kept.insert(connection, (Stage::New, NEW_BYTES));
                    }
                    outcome.closed
                }
                Event::Set(index, stage, bytes) => {
                    let Some(connection) = all.get(index).copied() else { continue };
                    let outcome = register.set(connection, stage, bytes);
                    if outcome.is_kept {
                        prop_assert!(kept.contains_key(&connection));
                        kept.insert(connection, (stage, bytes));
                    } else {
                        kept.remove(&connection);
                    }
                    outcome.closed
                }
                Event::Close(index) => {
                    let Some(connection) = all.get(index).copied() else { continue };
                    register.close(connection);
                    kept.remove(&connection);
                    Vec::new()
                }
                Event::Tick => register.tick(|stage| (stage == Stage::Head).then_some(2)),
            };
            for connection in closed {
                let (stage, _) = kept.remove(&connection).expect("named once");
                prop_assert_ne!(stage, Stage::Busy);
            }
            prop_assert_eq!(register.len(), kept.len());
            prop_assert_eq!(register.bytes(), kept.values().map(|(_, bytes)| bytes).sum::<u64>());
            prop_assert!(register.len() <= LIMITS.connections);
            prop_assert!(register.bytes() <= LIMITS.bytes);
        }
    }
}
