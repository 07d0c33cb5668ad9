//! What the control thread is told.

use std::time::Duration;

use cloverpost_core::directory::{Page, Update};

use crate::gateway::store::{Error, Topic};
use crate::peer;

/// What the keeper of the tables is told.
#[derive(Debug)]
pub enum Command {
    /// The store answered.
    Learned {
        /// About what.
        topic: Topic,
        /// With which rows.
        page: Box<Page>,
        /// Whether they are the whole table.
        whole: bool,
    },
    /// The store did not answer.
    Lost {
        /// About what.
        topic: Topic,
        /// Why not.
        error: Error,
    },
    /// A peer sent something.
    Peer(Box<peer::Incoming>),
    /// A question to a peer for newer tables has ended.
    Answered {
        /// The peer.
        peer: peer::Target,
        /// Time from the question to its end.
        took: Duration,
        /// What is newer there.
        result: Result<Box<Update>, peer::Error>,
    },
    /// A write ended.
    Written,
    /// Time has passed.
    Tick,
}
