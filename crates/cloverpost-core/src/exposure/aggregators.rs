//! Selection of the VMs that aggregate rollout evidence, and the order in which VMs write
//! the state of a rollout.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::directory::{Member, Size};
use crate::id;

/// Number of VMs that aggregate the evidence of a rollout. Three tolerate one failed and
/// one partitioned VM.
pub const AGGREGATORS: usize = 3;

/// Minimum interval between messages of a rollout to one receiver. The last stage of a rollout
/// lasts only a second or two.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum rate of messages of one kind that an aggregator exchanges with all VMs, per second.
const MESSAGES_PER_SECOND: u32 = 1000;
/// Number of messages with counts that a VM sends at a time.
const COUNT_MESSAGES: u32 = 3;

/// Returns the VMs among `members` that aggregate the evidence on `service`, by rank.
/// Every VM with the same member list computes the same result.
///
/// Evidence is sent only to these VMs; broadcasting it would take a number of messages
/// quadratic in the number of VMs. The largest VMs are chosen, since a small one could not process
/// the messages of all VMs and would learn of other changes late.
pub fn aggregators<'a>(
    service: &id::Pool,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a id::Vm> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_cached_key(|one| Rank::new(service, &one.vm, one.size));
    ranked.truncate(AGGREGATORS);
    ranked.into_iter().map(|one| &one.vm).collect()
}

/// Returns the interval at which each of `vms` VMs sends its counts to the aggregators.
#[must_use]
pub fn counts_interval(vms: u32) -> Duration {
    interval(vms.saturating_mul(COUNT_MESSAGES))
}

/// Returns the interval at which each of `vms` VMs sends its pinned sessions to the aggregators,
/// and these send them to all VMs.
#[must_use]
pub fn pins_interval(vms: u32) -> Duration {
    interval(vms)
}

/// Returns the interval that limits the rate of `messages` messages.
fn interval(messages: u32) -> Duration {
    let spread = Duration::from_secs(1) * messages / MESSAGES_PER_SECOND;
    spread.max(MIN_INTERVAL)
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
    members: impl Iterator<Item = &'a Member>,
    own: &Member,
) -> Duration {
    let rank = |one: &Member| Rank::new(service, &one.vm, one.size);
    let own = rank(own);
    let before = members.filter(|one| rank(one) < own).count();
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
    members: impl Iterator<Item = &'a Member> + Clone,
    own: &Member,
) -> Duration {
    if aggregators(service, members.clone()).contains(&&own.vm) {
        return Duration::ZERO;
    }
    write_delay(service, members, own)
}

/// Sort key of the VMs of a fleet: the largest first, in an order of its own for each service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank(Reverse<Size>, u64);

impl Rank {
    fn new(service: &id::Pool, vm: &id::Vm, size: Size) -> Self {
        // `DefaultHasher::new()` uses fixed keys, so every VM computes the same rank.
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        vm.hash(&mut hasher);
        Self(Reverse(size), hasher.finish())
    }
}
