//! Routes from requests to services.

use std::time::Duration;

use crate::directory::Kind;
use crate::id;

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Destination {
    /// The service.
    pub service: id::Pool,
    /// Weight relative to the sum over all destinations.
    pub weight: u32,
}

/// Destination and policy for requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: id::Entry,
    /// Host of the request.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest gap between two events of a stream.
    pub target_gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Models that may be used, smallest first; empty if the caller selects one.
    pub models: Vec<id::Model>,
    /// Services that receive the requests; never empty.
    pub destinations: Vec<Destination>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

impl Route {
    /// Selects the destination at `point`, from 0 to 1, of the cumulative weights.
    #[must_use]
    pub fn destination(&self, point: f64) -> Option<&Destination> {
        let weights = self.destinations.iter().map(|one| f64::from(one.weight));
        let mut left = point * weights.sum::<f64>();
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
