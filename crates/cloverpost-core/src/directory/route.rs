//! Routes from requests to services.

use std::time::Duration;

use crate::directory::Kind;
use crate::id;

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Destination {
    /// The service.
    pub service: id::Pool,
    /// Its part of the requests, against the sum over all destinations.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and on what terms.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: id::Entry,
    /// Host that callers name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers hope for.
    pub target_latency: Duration,
    /// Longest pause between the events of a stream that callers hope for.
    pub target_gap: Option<Duration>,
    /// Rank; 0 is first.
    pub priority: u8,
    /// Models that may answer, smallest first; empty if the caller names one.
    pub models: Vec<id::Model>,
    /// Services that it leads to; never empty.
    pub destinations: Vec<Destination>,
    /// Upstreams that one request may be sent to at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The destination at `point` of the weights, from 0 to 1.
    #[must_use]
    pub fn destination(&self, point: f64) -> Option<&Destination> {
        let total: u32 = self.destinations.iter().map(|one| one.weight).sum();
        let mut left = point * f64::from(total);
        let weighted = self.destinations.iter().filter(|one| one.weight > 0);
        let mut last = None;
        for destination in weighted {
            last = Some(destination);
            left -= f64::from(destination.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
