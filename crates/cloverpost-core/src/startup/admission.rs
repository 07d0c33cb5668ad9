//! What happens to a request that cannot be routed yet.

use crate::startup::{Reason, Ticket};
use crate::time;

/// What happens to a request that cannot be routed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits for the configuration.
    Wait {
        /// Identifies the request.
        ticket: Ticket,
        /// When it is refused if there is no configuration.
        until: time::Moment,
        /// Waiting requests that are refused to make room for it.
        displaced: Vec<Ticket>,
    },
    /// It is refused at once.
    Refuse(Reason),
}
