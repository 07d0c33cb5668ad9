//! Roll-outs that operators order, and how far they are.

use std::time::Duration;

use crate::directory::Version;
use crate::id;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Service that is moved.
    pub service: id::Pool,
    /// Version that it is to run.
    pub target: id::Version,
    /// Time within which it is to be done, from the order on.
    pub duration: Duration,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum State {
    /// The new version gets a share of the requests.
    InProgress,
    /// The new version gets all; the old upstreams stop.
    Completed,
    /// The new version was found bad and gets nothing.
    Reverted,
}

/// A row in which the VMs agree on the state of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// Service that is moved.
    pub service: id::Pool,
    /// Version that it moves to.
    pub target: id::Version,
    /// How far it is.
    pub state: State,
    /// Version that it moves away from, where the roll-out before it tells.
    pub base: Option<id::Version>,
    /// Version of the order's row; tells two orders of one target apart.
    pub order: Version,
    /// Reading of the store's clock when the first VM took up the order, in
    /// milliseconds.
    pub started_ms: u64,
    /// The same when that VM had learnt of the order, from which its time counts. It leaves the
    /// start to others first, for half a second and more if they are gone.
    pub ordered_ms: u64,
}

impl Progress {
    /// Whether it speaks of the order that stands in version `row`.
    #[must_use]
    pub fn answers(&self, order: &Order, row: Version) -> bool {
        self.order == row && self.target == order.target
    }

    /// The version that the service runs on besides the target of `next`, the order after
    /// this one, as far as this roll-out tells.
    ///
    /// The upstreams of the version before the last one may still be listed, and answer,
    /// when the next order comes. A session that had moved on would go back to them.
    #[must_use]
    pub fn base_of(&self, next: &Order) -> Option<&id::Version> {
        let base = match self.state {
            State::Completed => Some(&self.target),
            State::Reverted => self.base.as_ref(),
            // Cut short by the next order: sessions are on either version.
            State::InProgress => None,
        };
        base.filter(|base| **base != next.target)
    }
}
