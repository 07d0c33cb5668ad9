//! Leases in the store.

use cloverpost::clock;
use cloverpost::lease::{Lease, Options, acquire, renew};
use cloverpost_core::id;
use tokio::runtime::Runtime;

use crate::slopes::probe::counting_table::CountingTable;
use crate::slopes::probe::runtime;
use crate::slopes::{Meter, Quantity, Unit, fixture};

/// Numbers of renewals.
const COUNTS: &[usize] = &[1, 4, 16, 64];

/// Measures CPU time and store operations. The intercept is the cost of the acquisition.
pub fn measure_costs(meter: &mut Meter) {
    let what = "lease acquired, then renewed";
    let runtime = runtime();
    for &size in COUNTS {
        let (lease, table) = acquire_lease(&runtime);
        renew_lease(&runtime, &lease, size);
        table.record(meter, Unit::Lease, what, "renewals", size);
        let cpu = meter.cpu_nanos(|| renew_lease(&runtime, &lease, size));
        let what = "lease renewed";
        meter.record(Unit::Lease, what, "renewals", Quantity::Cpu, size, cpu);
    }
}

fn acquire_lease(runtime: &Runtime) -> (Lease<CountingTable>, CountingTable) {
    let table = CountingTable::default();
    let clock = clock::Clock::start();
    let (vm, process) = (fixture::vm(0), id::Process::new(1));
    let options = Options::default();
    let lease = Lease::new(table.clone(), "rollout", vm, process, clock, options);
    let acquire_options = acquire::Options {
        timeout: std::time::Duration::from_secs(1),
    };
    let outcome = runtime.block_on(lease.acquire(acquire_options));
    assert_eq!(
        outcome,
        Ok(acquire::Outcome::Held),
        "lease should be uncontended"
    );
    (lease, table)
}

fn renew_lease(runtime: &Runtime, lease: &Lease<CountingTable>, renewals: usize) {
    for _ in 0..renewals {
        let outcome = runtime.block_on(lease.renew(renew::Options::default()));
        assert_eq!(
            outcome,
            Ok(renew::Outcome::Renewed),
            "lease should be uncontended"
        );
    }
}
