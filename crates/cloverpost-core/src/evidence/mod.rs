//! Ratings of answers, counted per process and replicated to all VMs.
//!
//! Each process keeps monotonic counts of the ratings it received and sends them to its peers. A
//! [`Ledger`] keeps the highest counts of each process, so merging is idempotent and independent
//! of order, and returns the increase to the decisions that depend on it.

mod baseline;
mod counts;
mod digest;
mod floor;
mod key;
mod ledger;
mod source;

pub use baseline::Baseline;
pub use counts::Counts;
pub use digest::{Digest, Row};
pub use floor::Floor;
pub use key::Key;
pub use ledger::Ledger;
pub use source::Source;
