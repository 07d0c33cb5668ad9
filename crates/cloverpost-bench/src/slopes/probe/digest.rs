//! Digest exchanges between two VMs.

use std::time::Duration;

use cloverpost_core::spread::{
    Action, Edition, Event, Lags, Machine, Message, Options, Roster, State,
};
use cloverpost_core::{id, time};
use cloverpost_wire::{self as wire, Frame};
use rand_chacha::ChaCha8Rng;

use crate::slopes::probe::member;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Confirmation period, long enough that none expires during the measurement.
const WINDOW: Duration = Duration::from_secs(1_000_000);

/// What the state of the requester contains.
#[derive(Clone, Copy)]
enum Case {
    /// All VMs hold the latest revision.
    Idle,
    /// An edit was just received; the state contains the progress of the other VMs.
    Edit,
    /// The store is unavailable; the state contains the ages of confirmations.
    Outage,
}

impl Case {
    const ALL: [Self; 3] = [Self::Idle, Self::Edit, Self::Outage];

    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "exchange at rest, both ends",
            Self::Edit => "exchange after an edit, both ends",
            Self::Outage => "exchange without the store, both ends",
        }
    }
}

/// Creates the state machine of the VM `index`. It holds `roster` and the first revision and
/// knows that all members do too.
pub fn machine(index: usize, roster: Roster) -> Machine {
    let now = time::Moment::from_millis(1);
    let options = Options {
        window: WINDOW,
        ..Options::default()
    };
    let mut rng = fixture::rng();
    let epoch = roster.epoch;
    let size = roster.members().len();
    let mut machine = Machine::new(fixture::roster_member(index), options, now);
    let edition = Some(Edition::new(
        id::Revision::new(1),
        fixture::catalogue(1, 1, 1),
    ));
    let polled = Event::Polled {
        started: now,
        edition,
        roster: Some(roster),
    };
    machine.step(polled, now, &mut rng);
    let others = (0..size).filter(|other| *other != index);
    machine.step(
        Event::Peers(others.map(fixture::vm).collect()),
        now,
        &mut rng,
    );
    let event = Event::Message {
        from: fixture::vm(1),
        message: Message::Ask {
            number: 1,
            doubt: false,
            state: converged_state(epoch),
        },
    };
    machine.step(event, now, &mut rng);
    machine
}

/// Returns the state of a VM that knows that all members hold the first revision.
fn converged_state(epoch: id::Epoch) -> State {
    State {
        run: fixture::roster_member(1).run,
        epoch,
        holders: None,
        revision: id::Revision::new(1),
        latest: id::Revision::new(1),
        lags: Lags::None,
        store_age: None,
        ages: None,
    }
}

/// Two VMs that exchange digests.
struct Pair {
    requester: Machine,
    responder: Machine,
    now: time::Moment,
    rng: ChaCha8Rng,
    sent: usize,
    received: usize,
}

impl Pair {
    fn new(case: Case, size: usize) -> Self {
        let mut pair = Self {
            requester: machine(0, fixture::roster(size)),
            responder: machine(1, fixture::roster(size)),
            now: time::Moment::from_millis(2),
            rng: fixture::rng(),
            sent: 0,
            received: 0,
        };
        match case {
            Case::Idle => {}
            Case::Edit => pair.edit(),
            // More than half of the confirmation period has passed since the store confirmed.
            Case::Outage => pair.now = pair.now + WINDOW / 2 + WINDOW / 8,
        }
        pair
    }

    fn edit(&mut self) {
        let text = fixture::catalogue(1, 1, 2);
        let edition = Some(Edition::new(id::Revision::new(2), text));
        let polled = Event::Polled {
            started: self.now,
            edition,
            roster: None,
        };
        self.requester.step(polled.clone(), self.now, &mut self.rng);
        self.responder.step(polled, self.now, &mut self.rng);
    }

    /// Runs one tick of the requester and its exchanges; returns the number of exchanges.
    fn exchange(&mut self) -> usize {
        // The interval is the same in all cases, which differ only in the state.
        self.now = self.now + Duration::from_secs(1);
        let actions = self.requester.step(Event::Tick, self.now, &mut self.rng);
        let mut exchanges = 0;
        for action in actions {
            if let Action::Send { message, .. } = action {
                exchanges += 1;
                self.respond(&message);
            }
        }
        exchanges
    }

    /// Delivers `message` to the responder, whichever VM it was sent to, and its replies to the
    /// requester.
    fn respond(&mut self, message: &Message) {
        let (message, len) = transmit(message);
        self.sent += len;
        let event = Event::Message {
            from: fixture::vm(0),
            message,
        };
        for action in self.responder.step(event, self.now, &mut self.rng) {
            let Action::Send { message, .. } = action else {
                continue;
            };
            let (message, len) = transmit(&message);
            self.received += len;
            let event = Event::Message {
                from: fixture::vm(1),
                message,
            };
            self.requester.step(event, self.now, &mut self.rng);
        }
    }
}

/// Encodes and decodes a message as a link does. Also returns the length of the frame.
fn transmit(message: &Message) -> (Message, usize) {
    let message = wire::Message::Spread(message.clone());
    let frame = Frame::encode(&message).expect("message should fit in a frame");
    match Frame::decode(frame.as_bytes()) {
        Ok(wire::Message::Spread(message)) => (message, frame.as_bytes().len()),
        _ => panic!("encoded data should decode"),
    }
}

/// Measures the CPU time and bytes of an exchange.
pub fn measure_costs(meter: &mut Meter) {
    for case in Case::ALL {
        for &size in member::FLEET_SIZES {
            measure(meter, case, size);
        }
    }
}

fn measure(meter: &mut Meter, case: Case, size: usize) {
    let mut pair = Pair::new(case, size);
    let exchanges = meter::count_to_f64(pair.exchange());
    let sent = meter::count_to_f64(pair.sent) / exchanges;
    let received = meter::count_to_f64(pair.received) / exchanges;
    let cpu = meter.cpu_nanos(|| {
        pair.exchange();
    }) / exchanges;
    let mut record = |quantity, cost| {
        meter.record(Unit::Digest, case.name(), "members", quantity, size, cost);
    };
    record(Quantity::Cpu, cpu);
    record(Quantity::Sent, sent);
    record(Quantity::Received, received);
}
