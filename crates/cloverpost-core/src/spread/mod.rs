//! Propagation and confirmation of catalogue revisions.
//!
//! A [`Machine`] runs on every VM. It holds the newest catalogue it knows of, gossips
//! it to peers, and determines until when its VM may take new work on it.
//!
//! A revision is confirmed while one of two confirmations is younger than
//! [`Options::window`]:
//!
//! - *by the store*: the store held no later revision. Either this VM polled the
//!   store, or a peer did and reported the age of its poll.
//! - *by a majority*: more than half of the [`Roster`] held exactly this revision.
//!   This keeps the fleet serving while the store is unavailable.
//!
//! An edit is *held* once more than half of the roster has it. Two majorities share
//! a member, and the revision of a member never decreases, so no VM can obtain a new
//! confirmation of an older revision from then on. The last one obtained earlier
//! expires one window later. This is the quorum argument of Lamport's "The Part-Time
//! Parliament", restricted to reads (section 3.3.4): the store orders the edits, and
//! there is neither a leader nor a log.
//!
//! Ages count from the time at which the VM sent its query, not from the arrival of
//! the answer, so a delayed message can only make a confirmation older. VMs exchange
//! durations only, never clock readings.
//!
//! The roster changes by one member at a time, and only once a majority of the
//! current roster holds it. Majorities of consecutive rosters then share a member
//! too, so a partition that still confirms itself cannot be removed by the rest of
//! the fleet. A member is one run of a process: a restarted VM has lost its state and
//! must not confirm revisions as the member that it was before.

mod action;
mod ages;
mod edition;
mod event;
mod hash;
mod lags;
mod machine;
mod member;
mod member_set;
mod message;
mod options;
mod patch;
mod roster;
mod status;
mod view;

pub use action::Action;
pub use ages::Ages;
pub use edition::Edition;
pub use event::Event;
pub use hash::Hash;
pub use lags::Lags;
pub use machine::Machine;
pub use member::Member;
pub use member_set::MemberSet;
pub use message::{Message, State};
pub use options::Options;
pub use patch::Patch;
pub use roster::Roster;
pub use status::Status;
pub use view::View;
