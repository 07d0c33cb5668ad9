//! What an answer during a roll-out is evidence of.

use crate::directory;
use crate::id;

/// The answers of one side of a roll-out on one route. A version may be bad on one
/// route only, and few failures there drown among the answers of all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Service that is moved.
    pub service: id::Pool,
    /// Version of the order's row; tells roll-outs apart.
    pub order: directory::Version,
    /// Route of the requests.
    pub route: id::Entry,
    /// Version that answered, and while it had which share.
    pub side: Side,
}

/// Version that answered, and while it had which share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Side {
    /// The old one.
    Old,
    /// The new one, of a small share.
    Trial,
    /// The new one, of all requests. A version may fail only under load, and what the
    /// last second shows drowns among its good answers before.
    Whole,
}
