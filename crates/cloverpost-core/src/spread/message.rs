//! Messages between VMs about the catalogue.

use std::time::Duration;

use crate::id;
use crate::spread::{Ages, Edition, Lags, MemberSet, Patch, Roster};

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Requests the recipient's state.
    Ask {
        /// Correlates the answer with this query.
        number: u64,
        /// Whether the answer should include [`State::ages`].
        doubt: bool,
        /// State of the sender.
        state: State,
    },
    /// Reply to [`Message::Ask`].
    Answer {
        /// Number of the query.
        number: u64,
        /// State of the sender.
        state: State,
    },
    /// A new revision, as a patch of the one before.
    Push(Patch),
    /// Requests the recipient's full catalogue.
    FetchEdition,
    /// The sender's full catalogue.
    Edition(Edition),
    /// Requests the recipient's roster.
    FetchRoster,
    /// The sender's roster.
    Roster(Roster),
}

/// Summary of a VM's state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Run of the sender's process.
    pub run: id::Run,
    /// Epoch of its roster.
    pub epoch: id::Epoch,
    /// Members of that roster known to hold it; `None` means all of them.
    pub holders: Option<MemberSet>,
    /// Revision that the sender holds.
    pub revision: id::Revision,
    /// Latest revision known to exist.
    pub latest: id::Revision,
    /// How many revisions each member of its roster is behind `revision`.
    pub lags: Lags,
    /// Time since the store is known to have held nothing later than `revision`.
    pub store_age: Option<Duration>,
    /// Time since each member of its roster confirmed `revision`.
    pub ages: Option<Ages>,
}
