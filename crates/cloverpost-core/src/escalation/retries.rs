//! Detection of callers that reconnect with little time left.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Fraction of the longest client timeout on the route below which a request counts as a client
/// retry.
const RETRY_FRACTION: f64 = 0.6;

/// Longest timeout stated by a caller on each route.
///
/// A caller that reconnects states its remaining timeout but not that it is a retry, which is
/// inferred from a timeout much shorter than the longest.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    longest_timeout: HashMap<id::Entry, Duration>,
}

impl Retries {
    /// Records the `timeout` of a request on `route` and returns whether the request is likely
    /// a client retry.
    pub fn is_retry(&mut self, route: &id::Entry, timeout: Duration) -> bool {
        if let Some(longest_timeout) = self.longest_timeout.get_mut(route) {
            *longest_timeout = timeout.max(*longest_timeout);
            return timeout < longest_timeout.mul_f64(RETRY_FRACTION);
        }
        self.longest_timeout.insert(route.clone(), timeout);
        false
    }
}
