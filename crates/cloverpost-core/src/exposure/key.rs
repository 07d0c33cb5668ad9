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
    /// Whether the new version answered.
    pub is_new: bool,
}
