//! Orders to engines under a lease.
//!
//! An [`Order`] states an absolute target and carries the fencing token of its lease.
//! Engines that check the token reject a stale one. For engines that do not, three rules
//! separate the orders of successive lease holders:
//!
//! - a holder sends only while the remaining lease time exceeds the order timeout;
//! - a new holder waits for that timeout before its first order;
//! - the state is read back and the order repeated until it matches.
//!
//! The third rule also repairs what the sender cannot prevent: an order that is delivered
//! after the timeout because of the network, or of a pause between the check and the
//! first byte.

mod goal;
mod options;
pub mod reconcile;
mod report;
mod target;

pub use goal::{Goal, State};
pub use options::Options;
pub use reconcile::reconcile;
pub use report::{Condition, Report, Status};
pub use target::Target;

use crate::id;

/// An order as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Fencing token of the lease.
    pub fence: id::Fence,
    /// The desired state.
    pub target: Goal,
}
