//! Traffic share of a new version during a rollout.
//!
//! Every VM computes the share from the start and length of the rollout and the store's
//! clock, so VMs agree without messages. The share is zero while sessions are pinned to the
//! previous version, then a small one of new sessions. In the second half sessions may move to
//! the new version, which takes a larger share of all of them. The rest of the allowance is used
//! for a final stage in which the new version takes all traffic; each VM derives its length
//! from its own request counts.
//!
//! A [`Comparison`] of the responses of both versions decides whether the new one is worse.

mod aggregators;
mod allowance;
mod comparison;
mod key;
mod message;
mod order_age;
mod outcome;
mod pins;
mod regression;
mod sessions;
mod stage;
mod tallies;
mod tally;

pub use aggregators::{
    AGGREGATORS, aggregators, completion_delay, counts_interval, pins_interval, write_delay,
};
pub use allowance::Allowance;
pub use comparison::{Comparison, MAX_FALSE_HALT_RATE};
pub use key::{Key, Side, Span};
pub use message::Message;
pub use order_age::order_age;
pub use outcome::Outcome;
pub use pins::Pins;
pub use regression::Regression;
pub use sessions::Sessions;
pub use stage::{Stage, stage};
pub use tallies::Tallies;
pub use tally::Tally;
