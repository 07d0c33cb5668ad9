//! Line items of a record.

use crate::billing::Kind;
use crate::id;
use crate::measure;

/// The work of one version for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// Catalogue entry that ran it.
    pub entry: id::Entry,
    /// Version that ran it; plain services have none.
    pub version: Option<id::Version>,
    /// Tokens of the prompt.
    pub prompt: measure::Tokens,
    /// Tokens of the answer that were generated.
    pub answer: measure::Tokens,
    /// Cost in micro-units of the operator's currency.
    pub cost: u64,
    /// How the work ended.
    pub kind: Kind,
}
