//! Heartbeats and the membership changes that they carry.

use std::time::Duration;

use cloverpost_core::membership::{
    Action, Digest, Fleet, Member, Message, News, Options, Reply, State, Token,
};
use cloverpost_core::time;
use cloverpost_wire::{self as wire, Frame};
use rand_chacha::ChaCha8Rng;

use crate::slopes::probe::{encoding, member};
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of membership changes in a message.
const CHANGES: &[usize] = &[0, 2, 4, 6, 8];
/// Heartbeats after which all changes have been disseminated.
const SETTLING_HEARTBEATS: usize = 400;

/// Creates the membership state of the VM `index`, which knows all `size` VMs.
pub fn fleet(index: usize, size: usize) -> Fleet {
    let members = (0..size).map(fixture::member).collect();
    let mut fleet = Fleet::new(fixture::member(index), Options::default());
    let now = time::Moment::default();
    fleet.receive(Message::Members { members }, None, now, &mut fixture::rng());
    fleet
}

/// Measures the CPU time and bytes of heartbeats.
pub fn measure_costs(meter: &mut Meter) {
    for &size in member::FLEET_SIZES {
        let mut pair = Pair::new(size);
        pair.heartbeat();
        let (sent, received) = (pair.sent, pair.received);
        let cpu = meter.cpu_nanos(|| pair.heartbeat());
        let change = meter.cpu_nanos(|| pair.change());
        let mut record = |what, quantity, cost| {
            meter.record(Unit::Heartbeat, what, "members", quantity, size, cost);
        };
        record(
            "ticks of a period, ping and ack, both ends",
            Quantity::Cpu,
            cpu,
        );
        record(
            "ping and ack at rest",
            Quantity::Sent,
            meter::count_to_f64(sent),
        );
        record(
            "ping and ack at rest",
            Quantity::Received,
            meter::count_to_f64(received),
        );
        record(
            "change of a member heard, and the next tick",
            Quantity::Cpu,
            change,
        );
    }
    for &size in CHANGES {
        encode_changes(meter, size);
    }
}

/// Measures the encoding and decoding of membership changes.
fn encode_changes(meter: &mut Meter, size: usize) {
    let news = News {
        sender: fixture::member(0),
        digest: digest(),
        changes: (1..=size).map(fixture::member).collect(),
    };
    let gossip = wire::Message::Membership(Message::Gossip { news });
    let cpu = meter.cpu_nanos(|| {
        let frame = Frame::encode(&gossip).expect("message should fit in a frame");
        std::hint::black_box(Frame::decode(frame.as_bytes())).expect("encoded frame should decode");
    });
    let what = "news encoded and decoded";
    meter.record(Unit::Heartbeat, what, "changes", Quantity::Cpu, size, cpu);
    let bytes = meter::count_to_f64(encoding::frame_len(&gossip));
    meter.record(
        Unit::Heartbeat,
        what,
        "changes",
        Quantity::Sent,
        size,
        bytes,
    );
}

/// Returns a digest of typical length.
fn digest() -> Digest {
    let config = bincode::config::standard();
    let bytes = encoding::encode(&u64::MAX);
    let decoded = bincode::serde::decode_from_slice(&bytes, config);
    decoded.expect("digest should decode").0
}

/// A VM and a second one that responds for every VM that the first one pings.
struct Pair {
    requester: Fleet,
    responder: Fleet,
    now: time::Moment,
    rng: ChaCha8Rng,
    changed: Member,
    sent: usize,
    received: usize,
}

impl Pair {
    /// Creates two VMs that have disseminated all changes.
    fn new(size: usize) -> Self {
        let mut pair = Self {
            requester: fleet(0, size),
            responder: fleet(1, size),
            now: time::Moment::default(),
            rng: fixture::rng(),
            changed: fixture::member(2),
            sent: 0,
            received: 0,
        };
        for _ in 0..SETTLING_HEARTBEATS {
            pair.heartbeat();
            pair.responder.tick(pair.now, &mut pair.rng);
        }
        (pair.sent, pair.received) = (0, 0);
        pair
    }

    /// Ticks until a ping is sent, and delivers its response.
    fn heartbeat(&mut self) {
        loop {
            self.now = self.now + Options::default().tick;
            for action in self.requester.tick(self.now, &mut self.rng) {
                if let Action::Request { token, to, message } = action {
                    return self.respond(token, &to, message);
                }
            }
        }
    }

    fn respond(&mut self, token: Token, to: &Member, message: Message) {
        let Message::Ping { news, .. } = message else {
            return;
        };
        let target = self.responder.me().vm.clone();
        let (message, len) = transmit(Message::Ping { target, news });
        self.sent += len;
        let reply = Some(Reply(1));
        for action in self
            .responder
            .receive(message, reply, self.now, &mut self.rng)
        {
            let Action::Answer { message, .. } = action else {
                continue;
            };
            let (message, len) = transmit(with_sender(message, to.clone()));
            self.received += len;
            self.requester
                .handle_response(token, Some(message), self.now, &mut self.rng);
        }
    }

    /// Delivers a change of the state of a member to the requester.
    fn change(&mut self) {
        self.changed.incarnation = self.changed.incarnation.next();
        self.changed.state = match self.changed.state {
            State::Alive => State::Left,
            _ => State::Alive,
        };
        let news = News {
            sender: fixture::member(1),
            digest: digest(),
            changes: vec![self.changed.clone()],
        };
        let message = Message::Gossip { news };
        self.now = self.now + Duration::from_millis(1);
        self.requester
            .receive(message, None, self.now, &mut self.rng);
        self.requester.tick(self.now, &mut self.rng);
    }
}

/// Replaces the sender of an ack.
fn with_sender(message: Message, sender: Member) -> Message {
    match message {
        Message::Ack { news } => Message::Ack {
            news: News { sender, ..news },
        },
        other => other,
    }
}

/// Encodes and decodes a message as a link does. Also returns the length of the frame.
fn transmit(message: Message) -> (Message, usize) {
    let message = wire::Message::Membership(message);
    let frame = Frame::encode(&message).expect("message should fit in a frame");
    match Frame::decode(frame.as_bytes()) {
        Ok(wire::Message::Membership(message)) => (message, frame.as_bytes().len()),
        _ => panic!("encoded data should decode"),
    }
}
