//! Attempts that were given up before they ended.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::Upstream;
use crate::poison::{Fingerprint, Profile};
use crate::time;

/// Attempts that a VM gave up lately, for a larger model, a timeout or because the caller left.
///
/// An upstream may crash under such a request when nobody waits for it any more. If a later attempt
/// of the request crashes another upstream, the earlier ones are worth a check.
#[derive(Clone, Debug)]
pub struct GivenUp {
    capacity: usize,
    expiry: Duration,
    /// Attempts in order of time.
    attempts: VecDeque<(time::Moment, Profile, Arc<Upstream>)>,
}

impl GivenUp {
    /// Remembers at most `capacity` attempts, for `expiry`.
    #[must_use]
    pub const fn new(capacity: usize, expiry: Duration) -> Self {
        Self {
            capacity,
            expiry,
            attempts: VecDeque::new(),
        }
    }

    /// Records that an attempt on `upstream` was given up.
    pub fn record(&mut self, profile: Profile, upstream: Arc<Upstream>, now: time::Moment) {
        if self.attempts.len() >= self.capacity {
            self.attempts.pop_front();
        }
        self.attempts.push_back((now, profile, upstream));
    }

    /// Removes the attempts of the request and returns the upstreams of those that count at `now`.
    pub fn take(&mut self, fingerprint: &Fingerprint, now: time::Moment) -> Vec<Arc<Upstream>> {
        let expiry = self.expiry;
        self.attempts.retain(|(at, ..)| now.since(*at) < expiry);
        let of_request = self.attempts.iter();
        let of_request = of_request.filter(|(_, other, _)| other.request == *fingerprint);
        let upstreams = of_request.map(|(.., upstream)| upstream.clone()).collect();
        self.attempts
            .retain(|(_, other, _)| other.request != *fingerprint);
        upstreams
    }
}
