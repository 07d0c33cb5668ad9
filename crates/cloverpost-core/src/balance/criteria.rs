//! Inputs of the upstream choice for one request.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::choice;
use crate::id;

/// A request to be assigned to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Availability zone of this VM.
    pub zone: &'a id::AvailabilityZone,
    /// Affinity key of the prompt prefix that an upstream may have cached.
    pub affinity: Option<choice::Affinity>,
    /// Estimated seconds to process the whole prompt.
    pub work: f64,
    /// Estimated seconds saved when the shared prefix is cached.
    pub shared: f64,
    /// Upstreams that already failed this request.
    pub tried: &'a [id::Upstream],
    /// Random number used to break ties.
    pub draw: u64,
}

/// Hash of an upstream id, equal on every VM.
pub(super) fn upstream_hash(upstream: &id::Upstream) -> u64 {
    // Unlike the hasher of `HashMap`, `DefaultHasher::new` is not randomly seeded.
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    hasher.finish()
}

/// Pseudorandom number from 0 to 1, determined by `draw` and `upstream`.
pub(super) fn tie_break(draw: u64, upstream: &id::Upstream) -> f64 {
    let mut hasher = DefaultHasher::new();
    draw.hash(&mut hasher);
    upstream.hash(&mut hasher);
    let bits = u32::try_from(hasher.finish() >> 32).unwrap_or_default();
    f64::from(bits) / f64::from(u32::MAX)
}

/// Random factor around 1, determined by `draw` and `upstream`, whose logarithm has the Gumbel
/// distribution with scale `spread`. The lowest of equal costs then falls on each with equal
/// probability, and on a cost that is lower by a factor of `f` with `f^(1 / spread)` times that.
pub(super) fn random_factor(draw: u64, upstream: &id::Upstream, spread: f64) -> f64 {
    let uniform = tie_break(draw, upstream).clamp(1e-9, 1.0 - 1e-9);
    let gumbel = -(-uniform.ln()).ln();
    (-spread * gumbel).exp()
}
