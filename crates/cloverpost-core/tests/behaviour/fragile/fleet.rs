//! Rejections of an upstream summed over the VMs of a fleet.

use cloverpost_core::fragile::Register;
use rstest::rstest;

use super::{SLOTS, at, registers, tell, upstream};

const STEP_MS: u64 = 20;

/// A request in flight: index of its VM, and when it ends.
type InFlight = (usize, u64);

/// An upstream with a room that rejects what exceeds it.
struct Simulation {
    registers: Vec<Register>,
    in_flight: Vec<InFlight>,
    rejections: Vec<u64>,
    accepted: usize,
}

impl Simulation {
    /// Lets the VM send while it may; each request takes `work_ms`.
    fn send(&mut self, vm: usize, room: usize, work_ms: u64, now: u64) {
        for _ in 0..100 {
            let own = self.in_flight.iter().filter(|(other, _)| *other == vm);
            let own = own.count();
            let register = &mut self.registers[vm];
            if !register.has_place(&upstream(), own, at(now)) {
                return;
            }
            register.record_send(&upstream(), at(now));
            if self.in_flight.len() < room {
                self.in_flight.push((vm, now + work_ms));
                self.accepted += 1;
            } else {
                register.record_rejection(&upstream(), own, at(now));
                self.rejections.push(now);
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let ended = self.in_flight.iter().filter(|(_, end)| *end <= now);
        for (vm, _) in ended {
            self.registers[*vm].record_response(&upstream());
        }
        self.in_flight.retain(|(_, end)| *end > now);
    }

    /// Most rejections within a second.
    fn peak(&self) -> usize {
        let within = |from: &u64| {
            let window = self.rejections.iter();
            window
                .filter(|at| (*from..from + 1_000).contains(*at))
                .count()
        };
        self.rejections.iter().map(within).max().unwrap_or(0)
    }
}

// Guards against VMs that together send more than an upstream may reject, as each sees only its own
// requests.
#[rstest]
fn busy_vms_cause_few_rejections_and_use_the_slots(
    #[values(1, 9, 24, 80, 295)] vms: usize,
    #[values(4.0, 5.0, 20.0)] limit: f64,
    #[values(60, 400, 2_000)] work_ms: u64,
) {
    let mut registers = registers(vms);
    for register in &mut registers {
        tell(register, Some(limit), 0);
    }
    let mut simulation = Simulation {
        registers,
        in_flight: Vec::new(),
        rejections: Vec::new(),
        accepted: 0,
    };
    let room = SLOTS as usize;
    for now in (0..20_000).step_by(usize::try_from(STEP_MS).unwrap()) {
        simulation.end_requests(now);
        // VMs take turns to come first.
        let first = usize::try_from(now / STEP_MS).unwrap() * 7;
        for vm in 0..vms {
            simulation.send((first + vm) % vms, room, work_ms, now);
        }
    }
    let peak = simulation.peak();
    assert!(to_f64(peak) <= limit, "{peak} rejections in a second");
    let possible = to_f64(room) * 20_000.0 / to_f64(usize::try_from(work_ms).unwrap() + 20);
    let used = to_f64(simulation.accepted) / possible;
    assert!(used > 0.8, "{used} of the slots used");
}

#[allow(clippy::cast_precision_loss)] // far below 2^52
fn to_f64(count: usize) -> f64 {
    count as f64
}
