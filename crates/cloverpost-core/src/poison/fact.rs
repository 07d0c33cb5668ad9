//! Updates that VMs exchange.

use std::time::Duration;

use crate::poison::{Evidence, Feature};

/// An update that is replicated to every VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Fact {
    /// A crash.
    Mark(Mark),
    /// An operator's decision that earlier crashes no longer count.
    Lift(Lift),
}

/// A piece of evidence and its remaining lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// What the evidence is against.
    pub feature: Feature,
    /// The crash.
    pub evidence: Evidence,
    /// Whether the sender has confirmed the quarantine of the feature.
    pub is_confirmed: bool,
    /// Time until it expires. A duration, because the clocks of VMs are not
    /// compared.
    pub remaining: Duration,
}

/// Evidence that an operator has dismissed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Lift {
    /// What the evidence is against.
    pub feature: Feature,
    /// The crashes that no longer count.
    pub evidence: Vec<Evidence>,
}
