//! Latency that one hop adds.
//!
//! The same calls go to the engine stand-in directly and through one entry VM, at a fixed
//! rate. Latency is measured from the scheduled time of a call, which avoids coordinated
//! omission.

mod report;
mod run;

pub use report::{Comparison, Report};
pub use run::{Options, run};
