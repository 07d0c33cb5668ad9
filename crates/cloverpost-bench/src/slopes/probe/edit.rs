//! Catalogue edits, and polls that find none.

use cloverpost::revisions;
use cloverpost_core::spread::{Action, Edition, Event, Machine, Message, Patch};
use cloverpost_core::{id, time};
use cloverpost_platform::memory;
use cloverpost_wire as wire;

use crate::slopes::probe::counting_table::CountingTable;
use crate::slopes::probe::{catalogue, digest, encoding, member, runtime};
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of edits or polls.
const COUNTS: &[usize] = &[1, 2, 4, 8, 16];

/// Measures edits and polls.
pub fn measure_costs(meter: &mut Meter) {
    receive_by_catalogue(meter);
    receive_by_members(meter);
    write_edits(meter);
    poll_unchanged(meter);
}

/// Returns a VM that holds `old` in a fleet of `members`, and the patch from `old` to `new`.
fn machine_and_patch(old: &str, new: &str, members: usize) -> (Machine, Patch) {
    let now = time::Moment::from_millis(2);
    let old = Edition::new(id::Revision::new(2), old);
    let new = Edition::new(id::Revision::new(3), new);
    let patch = Patch::between(&old, &new);
    let mut machine = digest::machine(0, fixture::roster(members));
    let polled = Event::Polled {
        started: now,
        edition: Some(old),
        roster: None,
    };
    machine.step(polled, now, &mut fixture::rng());
    (machine, patch)
}

fn receive(mut machine: Machine, patch: Patch) -> Vec<Action> {
    let event = Event::Message {
        from: fixture::vm(1),
        message: Message::Push(patch),
    };
    machine.step(event, time::Moment::from_millis(3), &mut fixture::rng())
}

/// Measures receiving an edit from a peer and forwarding it, by size of the catalogue.
fn receive_by_catalogue(meter: &mut Meter) {
    let what = "edit taken from a peer and passed on";
    for ((unit, by, size, old), (_, _, _, new)) in catalogue::texts(1).zip(catalogue::texts(2)) {
        let (machine, patch) = machine_and_patch(&old, &new, catalogue::FIXED_COUNT);
        let cpu = meter.cpu_nanos_with(
            || (machine.clone(), patch.clone()),
            |(machine, patch)| drop(receive(machine, patch)),
        );
        meter.record(unit, what, by, Quantity::Cpu, size, cpu);
        let sent: usize = receive(machine, patch).iter().map(sent_bytes).sum();
        meter.record(
            unit,
            what,
            by,
            Quantity::Sent,
            size,
            meter::count_to_f64(sent),
        );
    }
}

fn receive_by_members(meter: &mut Meter) {
    let what = "edit taken from a peer and passed on";
    let old = fixture::catalogue(catalogue::FIXED_COUNT, catalogue::FIXED_COUNT, 1);
    let new = fixture::catalogue(catalogue::FIXED_COUNT, catalogue::FIXED_COUNT, 2);
    for &size in member::FLEET_SIZES {
        let (machine, patch) = machine_and_patch(&old, &new, size);
        let cpu = meter.cpu_nanos_with(
            || (machine.clone(), patch.clone()),
            |(machine, patch)| drop(receive(machine, patch)),
        );
        meter.record(Unit::Edit, what, "members", Quantity::Cpu, size, cpu);
    }
}

fn sent_bytes(action: &Action) -> usize {
    match action {
        Action::Send { message, .. } => {
            encoding::frame_len(&wire::Message::Spread(message.clone()))
        }
        _ => 0,
    }
}

/// Measures the store operations of edits.
fn write_edits(meter: &mut Meter) {
    for &size in COUNTS {
        let table = CountingTable::default();
        apply_edits(&table, size);
        table.record(meter, Unit::Edit, "edit written", "edits", size);
    }
}

fn apply_edits(table: &CountingTable, edits: usize) {
    let store = revisions::Store::new(table.clone(), memory::Objects::new());
    runtime().block_on(async {
        for number in 0..edits as u64 {
            let edit = revisions::write::Edit {
                base: id::Revision::new(number),
                edit: id::Edit::random(&mut fixture::rng()),
                editor: fixture::parse_name("operator"),
                stamp: time::Timestamp::from_millis(1),
                comment: "price of the first entry".to_owned(),
                text: fixture::catalogue(catalogue::FIXED_COUNT, catalogue::FIXED_COUNT, number),
            };
            let outcome = store.write(edit).await;
            outcome.expect("write should succeed");
        }
    });
}

/// Measures the store operations of polls that find no new revision.
fn poll_unchanged(meter: &mut Meter) {
    for &size in COUNTS {
        let table = CountingTable::default();
        apply_edits(&table, 1);
        let polled_table = table.with_new_counts();
        let store = revisions::Store::new(polled_table.clone(), memory::Objects::new());
        runtime().block_on(async {
            for _ in 0..size {
                let newest = store.newest(id::Revision::new(1)).await;
                assert_eq!(newest, Ok(None), "poll should find no new revision");
            }
        });
        polled_table.record(meter, Unit::Edit, "poll without news", "polls", size);
    }
}
