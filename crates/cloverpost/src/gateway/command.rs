//! Messages to the control actor.

use std::time::{Duration, Instant};

use cloverpost_core::directory::{Member, Outline, Page, Piece, TableKind, Update};
use cloverpost_core::poison::Fact;

use crate::gateway::rollouts::Step;
use crate::gateway::store::{Error, Topic};
use crate::{peer, quarantine};

/// The result of a request to a peer.
#[derive(Debug)]
pub enum PeerResponse {
    /// Table changes.
    Update(Result<Box<Update>, peer::Error>),
    /// A piece of an encoded table.
    Piece(TableKind, Result<Piece, peer::Error>),
    /// The outline of an encoded table.
    Outline(TableKind, Result<Outline, peer::Error>),
    /// Facts about quarantined requests.
    Quarantined(Result<Vec<Fact>, peer::Error>),
}

/// Messages to the control actor.
#[derive(Debug)]
pub enum Command {
    /// The store returned rows.
    PageRead {
        /// The topic of the rows.
        topic: Topic,
        /// The rows.
        page: Box<Page>,
        /// Whether the page contains the whole table.
        is_full: bool,
    },
    /// A call to the store failed.
    StoreFailed {
        /// The topic of the call.
        topic: Topic,
        /// The reason of the failure.
        error: Error,
    },
    /// A message from a peer.
    PeerMessage(Box<peer::Incoming>),
    /// A request to a peer finished.
    PeerRequestDone {
        /// The peer.
        peer: Member,
        /// Duration of the request.
        took: Duration,
        /// The result.
        response: PeerResponse,
    },
    /// This VM found or dismissed evidence against requests that crash upstreams.
    CrashFacts(Vec<quarantine::Notification>),
    /// Fragile upstreams rejected requests of this VM.
    Rejections,
    /// Rollout writes finished.
    WritesDone(Vec<(Step, Result<(), Error>)>),
    /// The periodic timer fired at this time.
    Tick(Instant),
}
