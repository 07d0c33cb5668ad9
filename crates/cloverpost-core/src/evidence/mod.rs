//! Ratings of answers, counted on each VM and pooled by digest.
//!
//! Each process counts the ratings that it received itself, in numbers that
//! only rise, and sends them to its peers. A [`Ledger`] keeps the highest counts
//! seen of each process, so that a digest that comes twice, late or by a detour
//! changes nothing, and hands on what is new to the decisions that learn from
//! it.

mod counts;
mod digest;
mod key;
mod ledger;
mod source;
mod usual;

pub use counts::Counts;
pub use digest::{Digest, Row};
pub use key::Key;
pub use ledger::Ledger;
pub use source::Source;
pub use usual::Usual;
