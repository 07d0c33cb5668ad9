//! Keys under which answers are counted as rollout evidence.

use crate::directory;
use crate::id;

/// Identifies the answers of one side of a rollout on one route. Routes are counted
/// separately, because a regression on one route would be diluted in the total.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Service being rolled out.
    pub service: id::Pool,
    /// Version of the order row, which identifies the rollout.
    pub order: directory::Version,
    /// Route of the requests.
    pub route: id::Entry,
    /// Phase of the answer.
    pub span: Span,
    /// Version that answered, and its traffic share at the time.
    pub side: Side,
}

/// Phase of an answer that is evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Span {
    /// From the request to the response head.
    Head,
    /// The events of a stream. They are counted apart from the heads, since a version may
    /// start its answers in time and then slow down or abort.
    Events,
}

/// Version that answered, and its traffic share at the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Side {
    /// Previous version.
    Old,
    /// New version at a partial share.
    Trial,
    /// New version at full share. Counted separately, so that failures which occur only
    /// under full load are not diluted by earlier answers.
    Whole,
}
