//! What a request wants of an upstream.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::choice;
use crate::id;

/// A request that looks for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Availability zone of this VM.
    pub zone: &'a id::AvailabilityZone,
    /// What it shares with requests that an upstream may remember.
    pub affinity: Option<choice::Affinity>,
    /// Seconds that an upstream takes to read its prompt.
    pub work: f64,
    /// The part of them that one saves that remembers what is shared.
    pub shared: f64,
    /// Upstreams that have failed it.
    pub tried: &'a [id::Upstream],
    /// A random number.
    pub draw: u64,
}

/// Number of an upstream, equal on every VM.
pub(super) fn key(upstream: &id::Upstream) -> u64 {
    // The default hasher has no random state, unlike that of a hash map.
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 for `upstream`, different with each `draw`.
pub(super) fn spread(draw: u64, upstream: &id::Upstream) -> f64 {
    let mut hasher = DefaultHasher::new();
    draw.hash(&mut hasher);
    upstream.hash(&mut hasher);
    let bits = u32::try_from(hasher.finish() >> 32).unwrap_or_default();
    f64::from(bits) / f64::from(u32::MAX)
}
