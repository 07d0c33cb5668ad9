//! Affinity with power-of-two-choices fallback.

use rand::Rng;

use crate::choice::{Affinity, Options, Upstream, affinity, estimate};
use crate::time;

/// Random draws before falling back to a linear scan of the pool.
const RANDOM_TRIES: usize = 4;

/// Chooses among the `usable` upstreams with room; `None` if there is none.
///
/// `usable` excludes upstreams that are draining, quarantined or already tried. The caller then
/// reserves the slot with [`Upstream::try_start`], and chooses again if that fails because
/// another thread took it.
pub fn choose<'a, U: AsRef<Upstream>>(
    upstreams: &'a [U],
    usable: impl Fn(&U) -> bool,
    affinity: Option<Affinity>,
    options: &Options,
    now: time::Moment,
    rng: &mut impl Rng,
) -> Option<&'a U> {
    affinity
        .and_then(|affinity| affinity::preferred(upstreams, &usable, affinity, options, now))
        .or_else(|| two_choices(upstreams, &usable, options, now, rng))
}

fn two_choices<'a, U: AsRef<Upstream>>(
    upstreams: &'a [U],
    usable: impl Fn(&U) -> bool,
    options: &Options,
    now: time::Moment,
    rng: &mut impl Rng,
) -> Option<&'a U> {
    let is_available = |upstream: &U| upstream.as_ref().has_room() && usable(upstream);
    let first = random_available(upstreams, is_available, rng)?;
    let other = |upstream: &U| !std::ptr::eq(upstream, first) && is_available(upstream);
    let Some(second) = random_available(upstreams, other, rng) else {
        return Some(first);
    };
    Some(less_loaded(first, second, options, now))
}

/// The less loaded of two upstreams. The mean of both reports is the prior for stale reports.
fn less_loaded<'a, U: AsRef<Upstream>>(
    first: &'a U,
    second: &'a U,
    options: &Options,
    now: time::Moment,
) -> &'a U {
    let (left, right) = (first.as_ref(), second.as_ref());
    let prior = match (estimate::reported(left), estimate::reported(right)) {
        (Some(left), Some(right)) => f64::midpoint(left, right),
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => 0.0,
    };
    let left = estimate::load(left, prior, options, now);
    let right = estimate::load(right, prior, options, now);
    if right < left { second } else { first }
}

/// A random available upstream: a few random draws, then a linear scan from the last one.
fn random_available<'a, U>(
    upstreams: &'a [U],
    is_available: impl Fn(&U) -> bool,
    rng: &mut impl Rng,
) -> Option<&'a U> {
    if upstreams.is_empty() {
        return None;
    }
    let mut index = 0;
    for _ in 0..RANDOM_TRIES {
        index = rng.random_range(0..upstreams.len());
        if is_available(&upstreams[index]) {
            return Some(&upstreams[index]);
        }
    }
    let (before, after) = upstreams.split_at(index);
    after
        .iter()
        .chain(before)
        .find(|upstream| is_available(upstream))
}
