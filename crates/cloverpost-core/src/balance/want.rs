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
    /// Upstreams that have failed it.
    pub tried: &'a [id::Upstream],
}

/// Number of an upstream, equal on every VM.
pub(super) fn key(upstream: &id::Upstream) -> u64 {
    // The default hasher has no random state, unlike that of a hash map.
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    hasher.finish()
}
