//! Events about peers.

use std::fmt;

use crate::membership::Member;

/// A change of a peer's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It joined, for the first time or again.
    Joined(Member),
    /// It does not answer pings and may still refute the suspicion.
    Suspected(Member),
    /// It refuted a suspicion.
    Recovered(Member),
    /// It began a planned stop.
    Leaving(Member),
    /// It completed a planned stop.
    Left(Member),
    /// It did not refute a suspicion in time.
    Died(Member),
}

impl Event {
    /// The event for a change from `before` to `after`, if any.
    pub(super) fn between(before: Option<&Member>, after: &Member) -> Option<Self> {
        use crate::membership::State::{Alive, Dead, Leaving, Left, Suspect};
        let before = before.map_or(Dead, |member| member.state);
        let after_state = after.state;
        let event = match (before, after_state) {
            (Dead | Left, Alive | Suspect) | (Leaving, Alive) => Self::Joined,
            (Alive | Leaving, Suspect) => Self::Suspected,
            (Suspect, Alive) => Self::Recovered,
            (Alive | Suspect | Dead | Left, Leaving) => Self::Leaving,
            (Alive | Leaving | Suspect, Dead) => Self::Died,
            (Alive | Leaving | Suspect, Left) => Self::Left,
            (Dead | Left, Dead | Left)
            | (Alive, Alive)
            | (Leaving, Leaving)
            | (Suspect, Suspect) => return None,
        };
        Some(event(after.clone()))
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (member, what) = match self {
            Self::Joined(member) => (member, "joined"),
            Self::Suspected(member) => (member, "does not answer"),
            Self::Recovered(member) => (member, "answers again"),
            Self::Leaving(member) => (member, "is stopping"),
            Self::Left(member) => (member, "has left"),
            Self::Died(member) => (member, "is dead"),
        };
        let Member {
            vm, zone, address, ..
        } = member;
        write!(f, "{vm} {what} (zone {zone}, {address})")
    }
}
