//! Failure detection and group membership, similar to SWIM.
//!
//! A [`Fleet`] is the membership state of one VM. Once per period it pings one peer. The order
//! visits all peers in turn, so the cost per VM does not grow with the fleet. A peer that does not
//! answer is pinged indirectly, through a few other peers. If that fails too, it is *suspect*, and
//! it is declared *dead* unless it refutes the suspicion in time. Changes are piggybacked on pings
//! and, for a short time, sent in additional messages to a fixed set of neighbours.
//!
//! # Merging records
//!
//! A VM's [`Incarnation`] is raised only by the VM itself, so the record with the higher number is
//! newer. With equal numbers, the greater [`State`] wins. Merging is therefore commutative and
//! idempotent: lost, duplicated, delayed and reordered messages lead to the same state.
//!
//! The platform's list may be out of date, so it is only used to find VMs to contact. A listed VM
//! becomes a member once it answers, and a VM that answers is a member even if it is not listed.
//! Dead VMs are still contacted occasionally, as long as they are listed or died recently, so that
//! regions that declared each other dead during a partition merge again.
//!
//! # Pauses
//!
//! After a VM was paused, all its deadlines have passed although no peer failed. [`Fleet::tick`]
//! detects the gap, discards pending pings and extends the deadlines of suspects.

mod action;
mod broadcast_queue;
mod contact;
mod digest;
mod event;
mod fleet;
mod incarnation;
mod leave;
mod member;
mod merge;
mod message;
mod options;
mod probe;
mod receive;
mod record;
mod state;
mod tick;
mod view;

pub use action::{Action, Reply, Token};
pub use digest::Digest;
pub use event::Event;
pub use fleet::Fleet;
pub use incarnation::Incarnation;
pub use member::Member;
pub use message::{Message, News};
pub use options::Options;
pub use state::State;
pub use view::View;
