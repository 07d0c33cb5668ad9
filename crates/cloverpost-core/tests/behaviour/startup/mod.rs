//! Admission of requests before the first configuration.

mod outage;
mod queue;
mod request;
mod retry;

use cloverpost_core::time;

fn at(millis: u64) -> time::Moment {
    time::Moment::from_millis(millis)
}
