//! The measurements, one module per unit.

mod catalogue;
mod claim;
mod counting_table;
mod digest;
mod edit;
mod encoding;
mod evidence;
mod heartbeat;
mod lease;
mod limit;
mod link;
mod member;
mod quarantine;
mod record;
mod replica;
mod session;

use crate::slopes::Meter;

/// Measures memory.
pub fn measure_memory(meter: &mut Meter) {
    link::measure_memory(meter);
    member::measure_memory(meter);
    replica::measure_memory(meter);
    record::measure_memory(meter);
    quarantine::measure_memory(meter);
    evidence::measure_memory(meter);
    limit::measure_memory(meter);
    // Last, because memory freed by the parser would be reused by later measurements.
    catalogue::measure_memory(meter);
}

/// Measures CPU time, messages and store calls of the state machines.
pub fn measure_control_plane(meter: &mut Meter) {
    member::measure_messages(meter);
    replica::measure_costs(meter);
    catalogue::measure_costs(meter);
    edit::measure_costs(meter);
    digest::measure_costs(meter);
    heartbeat::measure_costs(meter);
    lease::measure_costs(meter);
    claim::measure_costs(meter);
    record::measure_costs(meter);
    session::measure_costs(meter);
    quarantine::measure_costs(meter);
    limit::measure_costs(meter);
    evidence::measure_costs(meter);
}

/// Measures messages and links over loopback.
pub fn measure_sockets(meter: &mut Meter) {
    link::measure_messages(meter);
    link::measure_opening(meter);
}

/// Creates a runtime that runs its tasks on the measuring thread.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime should start")
}
