//! Choice of the VM that opens a connection for this one.

use std::collections::HashMap;
use std::time::Duration;

use crate::directory::Member;
use crate::id;
use crate::time;

/// Time for which a VM that did not help is asked only after the others.
const PENALTY: Duration = Duration::from_secs(2);
/// Number of VMs that helped among which the work is spread. Further ones are sought while fewer
/// are known.
const TARGET_HELPERS: usize = 3;
/// Share of the connections that are asked of a VM not tried yet while too few helpers are known.
const EXPLORED_SHARE: f64 = 0.25;

/// What a VM that was asked for a connection did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It opened the connection.
    Connected,
    /// It reaches upstreams, but not this one.
    OnlyOthers,
    /// It could not be asked, has no path either, or no room.
    None,
}

/// What is known of VMs that were asked.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    known: HashMap<id::Vm, Known>,
}

#[derive(Clone, Copy, Debug)]
enum Known {
    Helps,
    FailedUntil(time::Moment),
}

impl Helpers {
    /// Records the answer of `vm`.
    pub fn record(&mut self, vm: &id::Vm, answer: Answer, now: time::Moment) {
        let known = match answer {
            Answer::Connected | Answer::OnlyOthers => Known::Helps,
            Answer::None => Known::FailedUntil(now + PENALTY),
        };
        self.known.insert(vm.clone(), known);
    }

    /// `members` in the order in which to ask them: those that helped, those not tried yet with the
    /// ones in `zone` first, and those that failed lately. `draw` returns random numbers in
    /// `0.0..1.0`, which spread the work among equals.
    pub fn rank(
        &self,
        members: &[Member],
        zone: &id::AvailabilityZone,
        now: time::Moment,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<Member> {
        let helping = |member: &&Member| matches!(self.known.get(&member.vm), Some(Known::Helps));
        let has_enough = members.iter().filter(helping).count() >= TARGET_HELPERS;
        let explores = !has_enough && draw() < EXPLORED_SHARE;
        let class = |member: &Member| match self.known.get(&member.vm) {
            Some(Known::Helps) => 1,
            Some(Known::FailedUntil(until)) if now < *until => 4,
            _ if member.zone != *zone => 3,
            _ if explores => 0,
            _ => 2,
        };
        let mut ranked: Vec<_> = members
            .iter()
            .map(|member| (class(member), draw(), member))
            .collect();
        ranked.sort_by(|(one, one_draw, _), (other, other_draw, _)| {
            one.cmp(other).then(one_draw.total_cmp(other_draw))
        });
        let ranked = ranked.into_iter();
        ranked.map(|(_, _, member)| member.clone()).collect()
    }

    /// Forgets VMs that are not in `members`.
    pub fn retain(&mut self, members: &[Member]) {
        self.known
            .retain(|vm, _| members.iter().any(|member| member.vm == *vm));
    }
}
