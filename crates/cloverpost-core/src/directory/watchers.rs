//! Selection of the VMs that follow the store, and takeover when they fail.
//!
//! Calls to the store are billed, and a frequently changing table answers every follower on each
//! change, so if all VMs followed, the number of calls would grow with VMs times changes. The VMs
//! of an availability zone are therefore ranked. The first [`WATCHERS`] follow the store and
//! forward changes to the others. If no message arrives, the others start to follow the store too,
//! in groups of increasing size.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::directory::{Member, Size, Table};
use crate::id;

/// Number of VMs per availability zone that always follow the store. More than one, so that
/// changes still arrive when one fails or is partitioned.
pub const WATCHERS: usize = 2;
/// Time without a message from a VM that is connected to the store after which the first group of
/// other VMs follows it. Such messages are sent three times a second, so this tolerates the loss
/// of three in a row, and a change still takes effect within two seconds.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Like [`TAKEOVER_TIMEOUT`], for a VM that has just started and does not serve requests yet. A
/// watcher that starts at the same time reads the store and notifies its peers within about 0.1 s.
pub const STARTUP_TAKEOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a VM waits for its own entry in the member list. All VMs of a new site add
/// themselves within their first second. A VM that computed its rank from an incomplete list would
/// follow the store unnecessarily; a site of 295 VMs made 2,200 extra calls that way.
pub const MEMBER_LIST_TIMEOUT: Duration = Duration::from_millis(1600);
/// Delay between two takeover groups, each twice as large as the one before. It covers a call to
/// the store and notifying the zone, about 0.1 s, so that later groups rarely have to follow the
/// store. When both watchers of a zone of 50 fail, four VMs replace them; without groups all 48
/// would follow the store. The last group of such a zone follows 0.75 s after the first.
const GROUP: Duration = Duration::from_millis(250);

impl Table<Member> {
    /// Whether `own` always follows the store for its availability zone.
    #[must_use]
    pub fn is_watcher(&self, own: &Member) -> bool {
        self.rank(own) < WATCHERS
    }

    /// Rank of `own` among the VMs of its availability zone, whether or not it is listed yet.
    #[must_use]
    pub fn rank(&self, own: &Member) -> usize {
        let key = Rank::of(own);
        let zone = self.rows.values().map(|row| &row.value);
        let zone = zone.filter(|one| one.zone == own.zone && one.vm != own.vm);
        zone.filter(|one| Rank::of(one) < key).count()
    }

    /// The VMs of `zone` by rank; the order is the same on all VMs.
    #[must_use]
    pub fn ranked(&self, zone: &id::AvailabilityZone) -> Vec<&Member> {
        let members = self.rows.values().map(|row| &row.value);
        let mut ranked: Vec<_> = members.filter(|one| one.zone == *zone).collect();
        ranked.sort_by_cached_key(|one| Rank::of(one));
        ranked
    }

    /// The watchers of all availability zones.
    #[must_use]
    pub fn watchers(&self) -> Vec<&Member> {
        let zones = self.rows.values().map(|row| &row.value.zone);
        let zones: BTreeSet<_> = zones.collect();
        let ranked = zones.into_iter().map(|zone| self.ranked(zone));
        ranked
            .flat_map(|zone| zone.into_iter().take(WATCHERS))
            .collect()
    }

    /// The watchers of the availability zone that follows `zone` by name, wrapping around. The
    /// watchers of `zone` notify them as well, so that a zone whose connection to the store has
    /// silently failed still learns of changes.
    #[must_use]
    pub fn next_watchers(&self, zone: &id::AvailabilityZone) -> Vec<&Member> {
        let zones = || self.rows.values().map(|row| &row.value.zone);
        let after = zones().filter(|one| *one > zone).min();
        let next = after.or_else(|| zones().min()).filter(|one| *one != zone);
        let mut watchers = next.map_or_else(Vec::new, |next| self.ranked(next));
        watchers.truncate(WATCHERS);
        watchers
    }
}

/// Time without a message from a VM that is connected to the store after which the VM with
/// `rank` in its availability zone follows the store. `timeout` is the delay of the first
/// group.
#[must_use]
pub fn takeover_delay(rank: usize, timeout: Duration) -> Duration {
    if rank < WATCHERS {
        return Duration::ZERO;
    }
    // Groups have 4, 8, 16, ... members.
    let group = ((rank - WATCHERS) / 4 + 1).ilog2();
    timeout + GROUP * group
}

/// Sort key of the VMs of a zone. The largest VMs come first, because a watcher forwards every
/// change to all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a>(Reverse<Size>, u64, &'a id::Vm);

impl<'a> Rank<'a> {
    fn of(member: &'a Member) -> Self {
        // `DefaultHasher::new` is not randomly seeded, so all VMs compute the same hash.
        let mut hasher = DefaultHasher::new();
        member.vm.hash(&mut hasher);
        Self(Reverse(member.size), hasher.finish(), &member.vm)
    }
}
