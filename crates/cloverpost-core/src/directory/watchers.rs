//! Which VMs follow the store, and when others take over from them.
//!
//! Calls to the store are paid for, and a table that changes all the time answers every
//! follower of it: with all VMs following, the calls grow with VMs times changes. The VMs of an
//! availability zone are therefore ranked. The first few follow the store and tell the others;
//! the others follow it, a few more at a time, for as long as nobody tells them anything.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::directory::{Member, Size, Table};
use crate::id;

/// VMs of an availability zone that follow the store at all times: one may be gone or cut off.
pub const WATCHERS: usize = 2;
/// Time without a message from a VM that hears from the store after which the first others follow
/// it. Such messages come three times a second, so three in a row are lost, and a change is
/// still in force within two seconds.
pub const QUIET: Duration = Duration::from_millis(1200);
/// The same for a VM that has just started and cannot serve yet: a watcher that starts in the
/// same moment has read the store and told others after some 0.1 s.
pub const START: Duration = Duration::from_millis(300);
/// Time for which a VM that the list lacks waits to see itself on it. All VMs of a new site write
/// themselves to it in their first second, and one that went by the few that came before it
/// would follow the store for nothing; 295 VMs made 2,200 calls that way.
pub const SETTLE: Duration = Duration::from_millis(1600);
/// Time that each further group of VMs, twice as large, leaves the one before it: to call the
/// store and tell the zone, which takes 0.1 s. When both watchers of a zone of 50 are gone, four
/// VMs follow in their place, where without groups all 48 would; the last group of such a zone
/// follows 0.75 s after the first.
const GROUP: Duration = Duration::from_millis(250);

impl Table<Member> {
    /// Whether `own` follows the store for its availability zone at all times.
    #[must_use]
    pub fn is_watcher(&self, own: &Member) -> bool {
        self.place(own) < WATCHERS
    }

    /// Place of `own` among the VMs of its availability zone, be it listed yet or not.
    #[must_use]
    pub fn place(&self, own: &Member) -> usize {
        let key = Rank::of(own);
        let zone = self.rows.values().map(|row| &row.value);
        let zone = zone.filter(|one| one.zone == own.zone && one.vm != own.vm);
        zone.filter(|one| Rank::of(one) < key).count()
    }

    /// The VMs of `zone`, in an order that is the same on all of them.
    #[must_use]
    pub fn ranked(&self, zone: &id::AvailabilityZone) -> Vec<&Member> {
        let members = self.rows.values().map(|row| &row.value);
        let mut ranked: Vec<_> = members.filter(|one| one.zone == *zone).collect();
        ranked.sort_by_cached_key(|one| Rank::of(one));
        ranked
    }

    /// The watchers of the availability zone that comes after `zone` by name, round in a
    /// circle. Those of `zone` tell them too: one that hears nothing from the store, and does
    /// not know it yet, learns of changes all the same.
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

/// Time without such a message after which the VM at `place` of its availability zone follows
/// the store; `quiet` is what the first group waits.
#[must_use]
pub fn takeover_delay(place: usize, quiet: Duration) -> Duration {
    if place < WATCHERS {
        return Duration::ZERO;
    }
    // Groups of 4, 8, 16 and so on.
    let group = ((place - WATCHERS) / 4 + 1).ilog2();
    quiet + GROUP * group
}

/// Orders the VMs of a zone. Those that bear most come first: a watcher hands every change to
/// all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a>(Reverse<Size>, u64, &'a id::Vm);

impl<'a> Rank<'a> {
    fn of(member: &'a Member) -> Self {
        // Equal on every VM: the default hasher has no random state.
        let mut hasher = DefaultHasher::new();
        member.vm.hash(&mut hasher);
        Self(Reverse(member.size), hasher.finish(), &member.vm)
    }
}
