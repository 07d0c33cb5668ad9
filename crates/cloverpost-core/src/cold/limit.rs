//! Limit on the requests sent to a cold upstream.

use crate::cold::Options;

/// Maximum number of senders to one cold upstream. Tolerates one failed and one stalled sender.
const MAX_SENDERS: usize = 3;
/// Membership views that may coexist during changes, each selecting its own senders.
const COEXISTING_VIEWS: f64 = 2.0;
/// Fraction of the upstream's capacity assigned to senders. The rest is headroom for VMs that do
/// not yet know that it is cold.
const ASSIGNED_FRACTION: f64 = 0.75;

/// Limit on the requests sent to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Number of VMs that may send.
    pub senders: usize,
    /// Maximum requests per sender in any second.
    pub per_sender: usize,
}

impl Limit {
    /// Creates the limit for upstreams that sustain `rate` requests per second while cold.
    #[must_use]
    pub fn new(rate: f64, options: &Options) -> Self {
        let capacity = rate * options.overage + options.slack;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // at least 0
        let total = (capacity * ASSIGNED_FRACTION / COEXISTING_VIEWS).max(0.0) as usize;
        let senders = total.min(MAX_SENDERS);
        Self {
            senders,
            per_sender: total / senders.max(1),
        }
    }
}
