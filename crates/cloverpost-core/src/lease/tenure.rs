//! The period in which a process holds a lease.

use crate::id;
use crate::time;

#[derive(Clone, Debug)]
pub(super) struct Tenure {
    pub(super) fence: id::Fence,
    /// When the newest confirmed write was sent.
    pub(super) renewed_at: time::Moment,
    /// When the process learnt that it had acquired the lease.
    pub(super) acquired_at: time::Moment,
}
