//! Affinity of prompt prefixes and sessions to upstreams, with bounded load.

use crate::choice::upstream::stable_hash;
use crate::choice::{Options, Upstream, estimate};
use crate::time;

/// Constant term of the load bound, so that an idle pool's preferred upstream is usable.
const LOAD_ALLOWANCE: f64 = 1.0;

/// Key shared by requests that benefit from the same upstream cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Affinity(u64);

impl Affinity {
    /// Affinity of the requests that share `bytes`, such as a prompt prefix or a session.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(stable_hash(bytes))
    }

    /// Rendezvous score of the upstream with `key`. The highest score is preferred.
    ///
    /// Mixes the bits with the finaliser of `SplitMix64`.
    #[must_use]
    pub const fn score(self, key: u64) -> u64 {
        let word = self.0 ^ key;
        let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        word ^ (word >> 31)
    }
}

/// Maximum number of upstreams sampled for the pool's mean load.
const MAX_SAMPLES: usize = 64;

/// Upstreams tried in rank order before the load of the whole pool is read.
const RANKED_TRIES: usize = 4;

/// The highest-ranked upstream of `affinity` that has room and is below the load bound.
///
/// Falls back to the whole ranking, since a hot prefix saturates the first few upstreams. Those
/// are tried first without reading the load of every upstream, which is much slower.
pub(super) fn preferred<'a, U: AsRef<Upstream>>(
    upstreams: &'a [U],
    usable: impl Fn(&U) -> bool,
    affinity: Affinity,
    options: &Options,
    now: time::Moment,
) -> Option<&'a U> {
    let load = |upstream: &U| estimate::load(upstream.as_ref(), 0.0, options, now);
    let score = |upstream: &U| affinity.score(upstream.as_ref().key());
    let is_available = |upstream: &&U| upstream.as_ref().has_room() && usable(upstream);
    let bound = options.affinity_bound * mean_load(upstreams, &usable, load) + LOAD_ALLOWANCE;
    let mut below = u64::MAX;
    for _ in 0..RANKED_TRIES {
        let rest = upstreams.iter().filter(|one| score(one) < below);
        let best = rest.filter(is_available).max_by_key(|one| score(one))?;
        if load(best) < bound {
            return Some(best);
        }
        below = score(best);
    }
    let is_below_bound = |upstream: &&U| load(upstream) < bound;
    let rest = upstreams.iter().filter(is_available).filter(is_below_bound);
    rest.max_by_key(|one| score(one))
}

/// Mean load of the usable upstreams, estimated from evenly spaced samples in a large pool.
fn mean_load<U>(upstreams: &[U], usable: impl Fn(&U) -> bool, load: impl Fn(&U) -> f64) -> f64 {
    let step = upstreams.len().div_ceil(MAX_SAMPLES).max(1);
    let sample = upstreams.iter().step_by(step).filter(|one| usable(one));
    let (count, total) = sample.fold((0_u32, 0.0), |(count, total), upstream| {
        (count + 1, total + load(upstream))
    });
    total / f64::from(count.max(1))
}
