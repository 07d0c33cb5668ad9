//! Claims of idempotency keys.

use std::time::Duration;

use bytes::Bytes;
use cloverpost::claim::{Claims, Options, take};
use cloverpost_core::claim::{Claimant, Liveness, RequestHash};
use cloverpost_core::id;
use cloverpost_platform::memory;
use futures_util::future;

use crate::slopes::probe::counting_table::CountingTable;
use crate::slopes::probe::runtime;
use crate::slopes::{Meter, Quantity, Unit, fixture, meter};

/// Numbers of claims.
const COUNTS: &[usize] = &[25, 50, 100, 200];
/// Latency of the store.
const STORE_LATENCY: Duration = Duration::from_millis(1);
/// Length of the stored response, in bytes.
const RESPONSE_LEN: usize = 512;

type TestClaims = Claims<CountingTable, memory::Objects, fn(&Claimant) -> Liveness>;

/// Measures taking and completing claims.
pub fn measure_costs(meter: &mut Meter) {
    let runtime = runtime();
    for &size in COUNTS {
        let (claims, table) = runtime.block_on(async { new_claims() });
        let start = meter.thread_cpu_nanos();
        runtime.block_on(async {
            for index in 0..size {
                run_claim(&claims, index).await;
            }
        });
        record(meter, &table, start, "claims one after another", size);
    }
    for &size in COUNTS {
        let (claims, table) = runtime.block_on(async { new_claims() });
        let start = meter.thread_cpu_nanos();
        runtime.block_on(async {
            let all = (0..size).map(|index| run_claim(&claims, index));
            future::join_all(all).await;
        });
        record(meter, &table, start, "claims all at once", size);
    }
}

fn record(meter: &mut Meter, table: &CountingTable, start: u64, what: &'static str, size: usize) {
    let cpu = meter::amount_to_f64(meter.thread_cpu_nanos() - start);
    meter.record(Unit::Claim, what, "claims", Quantity::Cpu, size, cpu);
    table.record(meter, Unit::Claim, what, "claims", size);
}

fn new_claims() -> (TestClaims, CountingTable) {
    let table = CountingTable::with_delay(STORE_LATENCY);
    let claimant = Claimant {
        vm: fixture::vm(0),
        process: id::Process::new(1),
    };
    let liveness: fn(&Claimant) -> Liveness = |_| Liveness::Alive;
    let options = Options {
        timeout: Duration::from_mins(1),
        call_timeout: Duration::from_mins(1),
        ..Options::default()
    };
    let objects = memory::Objects::new();
    (
        Claims::new(table.clone(), objects, claimant, liveness, options),
        table,
    )
}

/// Takes a claim, dispatches the request and stores its response.
async fn run_claim(claims: &TestClaims, index: usize) {
    let organisation = fixture::organisation(index % 10);
    let key = fixture::parse_name(&format!("key-{index:032}"));
    let body = RequestHash::of(&fixture::entry(0), "POST", "/book", b"interpreter");
    let request = id::Request::random(&mut rand::rng());
    let Ok(take::Outcome::Granted(mut ticket)) =
        claims.take(organisation, key, body, request).await
    else {
        panic!("new key should be granted");
    };
    ticket.dispatch();
    let response = http::Response::builder()
        .status(201)
        .header("content-type", "application/json")
        .body(Bytes::from(vec![b'x'; RESPONSE_LEN]))
        .expect("response should be valid");
    claims.complete(ticket, &response).await;
}
