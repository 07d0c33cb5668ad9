//! Rollout orders and their progress.

use std::time::Duration;

use crate::directory::Version;
use crate::id;

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Service that is moved.
    pub service: id::Pool,
    /// Version to roll out.
    pub target: id::Version,
    /// Time in which the rollout must complete, counted from the order.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum State {
    /// The new version receives a share of the requests.
    InProgress,
    /// The new version receives all requests; the old upstreams stop.
    Completed,
    /// The new version failed and receives no requests.
    Reverted,
}

/// The row through which the VMs agree on the state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// Service that is moved.
    pub service: id::Pool,
    /// Version that is rolled out.
    pub target: id::Version,
    /// Current state.
    pub state: State,
    /// Version that is replaced, if the previous rollout determines it.
    pub base: Option<id::Version>,
    /// Version of the order's row; distinguishes repeated orders of the same target.
    pub order: Version,
    /// Version that the order's row had when the rollout began; identifies the rollout. The
    /// operators write an order again that the store has lost.
    pub rollout: Version,
    /// The store's clock when the first VM started the rollout, in milliseconds.
    pub started_ms: u64,
    /// The store's clock when that VM first saw the order, in milliseconds. The duration counts
    /// from here; the start may be later, because a VM first leaves it to others for half a second
    /// or more.
    pub ordered_ms: u64,
}

impl Progress {
    /// Whether this is the progress of `order` as written in version `row`. A VM that reads the
    /// row from a copy of the store cannot tell in which era it was written.
    #[must_use]
    pub fn belongs_to(&self, order: &Order, row: Version) -> bool {
        let is_same_row = self.order == row.in_era(self.order.era()) && self.order <= row;
        is_same_row && self.target == order.target
    }

    /// Whether this is the progress of the same rollout as `other`.
    #[must_use]
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        // A VM that read the order from a copy of the store has it in a later era.
        let is_same_order = self.order.counter() == other.order.counter();
        (self.rollout == other.rollout || is_same_order) && self.target == other.target
    }

    /// Whether `other` is an earlier state of the same rollout, as a store says that came back from
    /// a copy, or a VM that did not know of this one and began again.
    #[must_use]
    pub fn outlasts(&self, other: &Self) -> bool {
        if !self.is_same_rollout(other) || other.state != State::InProgress {
            return false;
        }
        self.state != State::InProgress || self.started_ms < other.started_ms
    }

    /// The version that `next`, the following order, replaces, as far as this rollout determines
    /// it.
    ///
    /// Upstreams of an even older version may still be listed and respond when `next` arrives.
    /// Sessions that have already moved must not return to them.
    #[must_use]
    pub fn base_for(&self, next: &Order) -> Option<&id::Version> {
        let base = match self.state {
            State::Completed => Some(&self.target),
            State::Reverted => self.base.as_ref(),
            // Superseded by the next order: sessions use either version.
            State::InProgress => None,
        };
        base.filter(|base| **base != next.target)
    }
}
