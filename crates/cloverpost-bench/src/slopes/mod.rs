//! Control-plane cost of a VM per unit.
//!
//! [`run`] drives the state machines and encoders of the router, and sockets on loopback, with
//! an increasing number of units (members, replicas, records, ...). A straight line is fitted to
//! each [`Series`]: its slope is the cost per unit and its intercept the fixed cost.
//!
//! CPU time is that of the measuring thread, so other programs affect it only through shared
//! caches and cores; the report includes the load average. Bytes, store reads and store writes
//! are counts that do not vary between runs.
//!
//! Costs that are not measured are listed as [`Gap`]s of the report.

mod cpu;
mod fit;
mod fixture;
mod gap;
mod load;
mod meter;
mod options;
mod plot;
mod probe;
mod quantity;
mod report;
mod resident;
mod series;
mod unit;

pub use cpu::Error;
pub use fit::{Estimate, Fit};
pub use gap::Gap;
pub use load::Load;
pub use options::Options;
pub use plot::Error as PlotError;
pub use quantity::Quantity;
pub use report::Report;
pub use series::{Point, Series};
pub use unit::Unit;

use meter::Meter;

/// Measures every unit. Must not be called on a thread of a Tokio runtime.
///
/// # Panics
///
/// Panics if loopback sockets cannot be opened.
pub fn run(options: Options) -> Result<Report, Error> {
    let mut meter = Meter::start(options)?;
    let load_before = Load::now();
    // Memory is measured first: reuse of freed memory would hide growth of the process.
    probe::measure_memory(&mut meter);
    meter.release_memory();
    probe::measure_control_plane(&mut meter);
    probe::measure_sockets(&mut meter);
    Ok(Report {
        quick: options.quick,
        load_before,
        load_after: Load::now(),
        series: meter.into_series(),
        gaps: gap::all(),
    })
}
