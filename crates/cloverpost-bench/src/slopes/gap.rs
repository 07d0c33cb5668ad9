//! Costs that are not measured.

use std::fmt;

use crate::slopes::Unit;

/// A unit, or part of its cost, that is not measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Gap {
    /// Unit.
    pub unit: Unit,
    /// What is not measured, and why.
    pub what: &'static str,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.unit, self.what)
    }
}

/// Returns the costs that no probe measures.
pub fn all() -> Vec<Gap> {
    vec![
        Gap {
            unit: Unit::Limit,
            what: "messages of shares between VMs: not in the program yet; \
                   the split and its encoding are measured",
        },
        Gap {
            unit: Unit::Evidence,
            what: "sending counts to every peer; it follows from messages and links",
        },
        Gap {
            unit: Unit::Quarantine,
            what: "telling every peer of one fact; it follows from messages and links",
        },
        Gap {
            unit: Unit::Replica,
            what: "asking upstreams for their load over HTTP",
        },
    ]
}
