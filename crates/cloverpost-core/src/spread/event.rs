//! Input events of a machine.

use crate::id;
use crate::spread::{Edition, Member, Message, Roster};
use crate::time;

/// An input to [`crate::spread::Machine::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A timer expired; see [`crate::spread::Machine::next_tick`].
    Tick,
    /// The set of VMs that membership considers reachable changed.
    Peers(Vec<id::Vm>),
    /// A message arrived.
    Message {
        /// Sender, as identified by its connection.
        from: id::Vm,
        /// Content.
        message: Message,
    },
    /// The store answered a poll.
    Polled {
        /// When the poll was sent.
        started: time::Moment,
        /// The newest revision, if later than the machine's.
        edition: Option<Edition>,
        /// The newest roster, if later than the machine's.
        roster: Option<Roster>,
    },
    /// A poll of the store failed or timed out.
    PollFailed,
    /// The store accepted an edit made through this VM.
    Accepted {
        /// When the write was sent.
        started: time::Moment,
        /// The accepted revision.
        edition: Edition,
    },
    /// This VM shuts down: it takes no new work and leaves the roster.
    Leave,
    /// The platform removed a VM permanently: it takes no work and confirms no
    /// revision from now on.
    Removed(Member),
}
