//! Usage records, which are replicated to two peers and written as segments.

use std::collections::VecDeque;
use std::time::Duration;

use cloverpost::billing::Store;
use cloverpost_core::billing::machine::Action;
use cloverpost_core::billing::{
    Charge, Kind, Machine, Message, Options, Pending, Record, Run, Sequence, Source,
};
use cloverpost_core::{id, measure, time};
use cloverpost_wire::{self as wire, Frame};

use crate::slopes::probe::counting_table::CountingTable;
use crate::slopes::probe::runtime;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of records in one segment.
const COUNTS: &[usize] = &[10, 50, 100, 200, 400];
/// Numbers of records for the memory measurement.
const MEMORY_SIZES: &[usize] = &[10_000, 20_000, 40_000, 80_000];
/// Interval between records.
const RECORD_INTERVAL: Duration = Duration::from_millis(1);

/// Creates a record with one charge.
fn usage_record(index: usize, rng: &mut impl rand::Rng) -> Record {
    Record {
        request: id::Request::random(rng),
        organisation: fixture::organisation(index % 200),
        charges: vec![Charge {
            entry: fixture::entry(index % 11),
            version: Some(fixture::parse_name("2026-11")),
            prompt: measure::Tokens::new(1800),
            answer: measure::Tokens::new(200),
            cost: 180_000,
            kind: Kind::Whole,
        }],
        stamp: time::Timestamp::from_millis(1_800_000_000_000),
    }
}

/// Measures the memory of records that are not yet in the store.
pub fn measure_memory(meter: &mut Meter) {
    let mut rng = fixture::rng();
    for &size in MEMORY_SIZES {
        let growth = meter.memory_growth(|| {
            let mut pending = Pending::default();
            for index in 0..size {
                let sequence = Sequence::new(index as u64);
                pending.insert(
                    sequence,
                    usage_record(index, &mut rng),
                    time::Moment::default(),
                );
            }
            pending
        });
        let what = "record that waits, own or copied";
        meter.record(
            Unit::Record,
            what,
            "records",
            Quantity::Memory,
            size,
            growth,
        );
    }
}

/// Measures the CPU time, bytes and store operations of records.
pub fn measure_costs(meter: &mut Meter) {
    for (what, one_by_one) in [
        ("records copied one by one, one segment", true),
        ("records copied all at once, one segment", false),
    ] {
        for &size in COUNTS {
            let mut replication = Replication::new();
            replication.run(meter, size, one_by_one);
            let mut record = |unit, quantity, cost| {
                meter.record(unit, what, "records", quantity, size, cost);
            };
            record(
                Unit::Record,
                Quantity::Cpu,
                meter::amount_to_f64(replication.source_nanos),
            );
            record(
                Unit::Record,
                Quantity::Sent,
                meter::count_to_f64(replication.sent),
            );
            record(
                Unit::Record,
                Quantity::Received,
                meter::count_to_f64(replication.received),
            );
            record(
                Unit::Copy,
                Quantity::Cpu,
                meter::amount_to_f64(replication.holder_nanos) / 2.0,
            );
            if one_by_one {
                replication
                    .table
                    .record(meter, Unit::Record, what, "records", size);
            }
        }
    }
}

/// A VM that creates records, and two VMs that hold copies.
struct Replication {
    source: Machine,
    holders: Vec<(id::Vm, Machine)>,
    store: Store<CountingTable>,
    table: CountingTable,
    runtime: tokio::runtime::Runtime,
    now: time::Moment,
    sent: usize,
    received: usize,
    source_nanos: u64,
    holder_nanos: u64,
}

fn machine(index: usize) -> Machine {
    let source = Source {
        vm: fixture::vm(index),
        run: Run::new(0x5eed_0000 + index as u64),
    };
    Machine::new(source, fixture::zone(index), Options::default())
}

impl Replication {
    fn new() -> Self {
        let table = CountingTable::default();
        let mut source = machine(0);
        let holders: Vec<_> = [1, 2]
            .map(|index| (fixture::vm(index), machine(index)))
            .into();
        for index in [1, 2] {
            source.joined(fixture::vm(index), fixture::zone(index));
        }
        let mut replication = Self {
            source,
            holders,
            store: Store::new(table.clone()),
            table,
            runtime: runtime(),
            now: time::Moment::from_millis(1),
            sent: 0,
            received: 0,
            source_nanos: 0,
            holder_nanos: 0,
        };
        // The billing account is read once, before the first record.
        replication.poll(None);
        replication
    }

    fn run(&mut self, meter: &Meter, records: usize, one_by_one: bool) {
        let mut rng = fixture::rng();
        let records: Vec<_> = (0..records)
            .map(|index| usage_record(index, &mut rng))
            .collect();
        for record in records {
            let start = meter.thread_cpu_nanos();
            self.source.record(record, self.now);
            self.source_nanos += meter.thread_cpu_nanos() - start;
            if one_by_one {
                self.now = self.now + RECORD_INTERVAL;
                self.poll(Some(meter));
            }
        }
        self.poll(Some(meter));
        self.now = self.now + Options::default().segment_age;
        self.poll(Some(meter));
        assert!(
            self.source.pending().is_empty(),
            "all records should be written"
        );
    }

    /// Polls the source until it returns no actions.
    fn poll(&mut self, meter: Option<&Meter>) {
        loop {
            let start = meter.map(Meter::thread_cpu_nanos);
            let actions = self.source.poll(self.now);
            self.source_nanos += elapsed(meter, start);
            if actions.is_empty() {
                return;
            }
            self.perform(actions.into(), meter);
        }
    }

    fn perform(&mut self, mut actions: VecDeque<Action>, meter: Option<&Meter>) {
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send { to, message } => self.send(&to, &message, meter),
                Action::Call { source, step } => {
                    let start = meter.map(Meter::thread_cpu_nanos);
                    let result = self.runtime.block_on(self.store.call(step));
                    self.source.answer(source.as_ref(), result, self.now);
                    self.source_nanos += elapsed(meter, start);
                }
                Action::Release { .. } => {}
            }
        }
    }

    fn send(&mut self, to: &id::Vm, message: &Message, meter: Option<&Meter>) {
        let start = meter.map(Meter::thread_cpu_nanos);
        let frame = encode(message.clone());
        self.source_nanos += elapsed(meter, start);
        self.sent += frame.as_bytes().len();
        let start = meter.map(Meter::thread_cpu_nanos);
        let message = decode(&frame);
        let holder = self.holders.iter_mut().find(|(vm, _)| vm == to);
        let (_, holder) = holder.expect("recipient should be a holder");
        let reply = holder.message(fixture::vm(0), message, self.now);
        let reply = reply.and_then(|action| match action {
            Action::Send { message, .. } => Some(encode(message)),
            _ => None,
        });
        self.holder_nanos += elapsed(meter, start);
        let Some(frame) = reply else {
            return;
        };
        self.received += frame.as_bytes().len();
        let start = meter.map(Meter::thread_cpu_nanos);
        self.source.message(to.clone(), decode(&frame), self.now);
        self.source_nanos += elapsed(meter, start);
    }
}

fn encode(message: Message) -> Frame {
    Frame::encode(&wire::Message::Billing(message)).expect("message should fit in a frame")
}

fn decode(frame: &Frame) -> Message {
    match Frame::decode(frame.as_bytes()) {
        Ok(wire::Message::Billing(message)) => message,
        _ => panic!("encoded data should decode"),
    }
}

fn elapsed(meter: Option<&Meter>, start: Option<u64>) -> u64 {
    meter
        .zip(start)
        .map_or(0, |(meter, start)| meter.thread_cpu_nanos() - start)
}
