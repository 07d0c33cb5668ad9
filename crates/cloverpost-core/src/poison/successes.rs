//! Recent successes, by request.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time;

/// A success is recorded again after this part of its lifetime, as a divisor, so that frequent ones do
/// not displace the others.
const REFRESHES: u32 = 32;

/// Requests that succeeded on this VM lately.
///
/// A request that crashes every upstream that runs it never succeeds. One that is sent often is in
/// flight at many crashes with other causes, and its successes tell the two apart.
#[derive(Clone, Debug)]
pub struct Successes {
    capacity: usize,
    expiry: Duration,
    last: HashMap<u64, time::Moment>,
    /// Successes in order of time; outdated ones are kept until they are the oldest.
    order: VecDeque<(time::Moment, u64)>,
}

impl Successes {
    /// Remembers at most `capacity` successes, for `expiry`.
    #[must_use]
    pub fn new(capacity: usize, expiry: Duration) -> Self {
        Self {
            capacity,
            expiry,
            last: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records a success of the requests with hash `key`.
    pub fn record(&mut self, key: u64, now: time::Moment) {
        let last = self.last.get(&key);
        if last.is_some_and(|at| now.since(*at) < self.expiry / REFRESHES) {
            return;
        }
        self.last.insert(key, now);
        self.order.push_back((now, key));
        while self.order.len() > self.capacity {
            self.forget_oldest();
        }
    }

    /// Whether a request with hash `key` succeeded lately.
    #[must_use]
    pub fn contains(&self, key: u64, now: time::Moment) -> bool {
        let last = self.last.get(&key);
        last.is_some_and(|at| now.since(*at) < self.expiry)
    }

    fn forget_oldest(&mut self) {
        if let Some((at, key)) = self.order.pop_front()
            && self.last.get(&key) == Some(&at)
        {
            self.last.remove(&key);
        }
    }
}
