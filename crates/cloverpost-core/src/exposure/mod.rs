//! How much of the traffic a new version gets.
//!
//! Every VM works the share out by itself from the roll-out's start and length
//! and the store's clock, so that no message is needed for VMs to agree. It is
//! constant through the first half, in which a session must stay on the version
//! that it began with. What is left of the allowance then goes into a last stage in
//! which the new version gets everything; each VM works out by its own requests how
//! long that may last.

mod allowance;
mod judges;
mod key;
mod message;
mod pins;
mod sessions;
mod stage;
mod tallies;
mod tally;

pub use allowance::Allowance;
pub use judges::{JUDGES, completion_delay, judges, write_delay};
pub use key::{Key, Side, Span};
pub use message::Message;
pub use pins::Pins;
pub use sessions::Sessions;
pub use stage::{Stage, stage};
pub use tallies::Tallies;
pub use tally::Tally;
