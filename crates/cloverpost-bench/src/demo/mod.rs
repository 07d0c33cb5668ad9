//! Runs mixed requests through a site in one process and checks every promise.
//!
//! Requests go over real sockets. The checks compare the responses that callers received
//! with the journals of the upstreams.

mod balancer;
mod checks;
mod outage;
mod report;
mod run;
mod tally;
mod welcome;
mod workload;

pub use report::Report;
pub use run::{Options, run};
pub use tally::Tally;

pub use crate::site::Site;
