//! Selection of the VMs that aggregate rollout evidence, and the order in which VMs write
//! the state of a rollout.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::id;

/// Number of VMs that aggregate the evidence of a rollout. Three tolerate one failed and
/// one partitioned VM.
pub const AGGREGATORS: usize = 3;

/// Returns the VMs among `members` that aggregate the evidence on `service`, by rank.
/// Every VM with the same member list computes the same result.
///
/// Evidence is sent only to these VMs; broadcasting it would take a number of messages
/// quadratic in the number of VMs.
pub fn aggregators<'a>(
    service: &id::Pool,
    members: impl Iterator<Item = &'a id::Vm>,
) -> Vec<&'a id::Vm> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_cached_key(|vm| rank(service, vm));
    ranked.truncate(AGGREGATORS);
    ranked
}

/// Write delay per rank among the aggregators.
const AGGREGATOR_DELAY: Duration = Duration::from_millis(150);
/// Write delay of the first group of other VMs. It exceeds the 0.5 s that it takes to
/// learn of a write by the first aggregator.
const FALLBACK_DELAY: Duration = Duration::from_millis(600);
/// Additional write delay of each further group; each group is twice as large as the one
/// before.
const GROUP_DELAY: Duration = Duration::from_millis(200);

/// Returns how long `own` waits for other VMs to write a state of a rollout of `service`
/// before it writes that state itself.
///
/// The delays keep VMs from writing at once: only one write succeeds, and the store limits the
/// write rate of a partition. When 295 VMs all tried to begin a rollout, one write succeeded and
/// 379 failed, 135 of them because a partition takes no more than 150 a second. If no aggregator
/// writes, groups of four, eight and more VMs follow.
#[must_use]
pub fn write_delay<'a>(
    service: &id::Pool,
    members: impl Iterator<Item = &'a id::Vm>,
    own: &id::Vm,
) -> Duration {
    let key = rank(service, own);
    let before = members.filter(|vm| rank(service, vm) < key).count();
    if before < AGGREGATORS {
        return AGGREGATOR_DELAY * u32::try_from(before).unwrap_or(u32::MAX);
    }
    let group = ((before - AGGREGATORS) / 4 + 1).ilog2();
    FALLBACK_DELAY + GROUP_DELAY * group
}

/// Returns how long `own` waits for other VMs to mark a rollout of `service` as complete.
///
/// Aggregators do not wait for one another: if the store rejects the first writers, a delayed
/// write by the last one would miss the deadline.
#[must_use]
pub fn completion_delay<'a>(
    service: &id::Pool,
    members: impl Iterator<Item = &'a id::Vm> + Clone,
    own: &id::Vm,
) -> Duration {
    if aggregators(service, members.clone()).contains(&own) {
        return Duration::ZERO;
    }
    write_delay(service, members, own)
}

fn rank(service: &id::Pool, vm: &id::Vm) -> u64 {
    // `DefaultHasher::new()` uses fixed keys, so every VM computes the same rank.
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}
