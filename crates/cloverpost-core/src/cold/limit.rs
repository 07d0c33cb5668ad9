//! How many VMs send how much to one cold upstream.

use crate::cold::Options;

/// VMs that send to one cold upstream: one may be gone and another frozen.
const SENDERS: usize = 3;
/// Lists of VMs in use at once while some come and go, each with senders of its own.
const LISTS: f64 = 2.0;
/// Part of what an upstream bears that is handed out. The rest is for VMs that do not know yet
/// that it is cold.
const PART: f64 = 0.75;

/// How many VMs send how much to one cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// VMs that send.
    pub senders: usize,
    /// Requests of each in any second.
    pub each: usize,
}

impl Limit {
    /// The limit for upstreams that bear `rate` requests a second while cold.
    #[must_use]
    pub fn new(rate: f64, options: &Options) -> Self {
        let bears = rate * options.overage + options.slack;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not below 0
        let all = (bears * PART / LISTS).max(0.0) as usize;
        let senders = all.min(SENDERS);
        Self {
            senders,
            each: all / senders.max(1),
        }
    }
}
