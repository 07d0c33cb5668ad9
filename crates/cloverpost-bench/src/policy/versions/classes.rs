//! Request classes and their versions.

use std::time::Duration;

use cloverpost_core::plan;

use crate::policy::versions::version::{BRIEFS, SHEETS, TAGS, Version};

/// A request class.
pub(super) struct Class {
    /// Fraction of the requests.
    pub(super) share: f64,
    /// Quality target, time limit and objective.
    pub(super) goal: plan::Goal,
    pub(super) versions: &'static [Version],
}

/// Index of briefs.
pub(super) const BRIEF: usize = 0;

/// Index of tags.
pub(super) const TAG: usize = 1;

/// Index of build sheets.
pub(super) const SHEET: usize = 2;

/// Briefs are optimised for cost, tags and build sheets for latency.
pub(super) const CLASSES: [Class; 3] = [
    Class {
        share: 0.4,
        goal: plan::Goal {
            quality: 0.92,
            time_limit: Duration::from_mins(1),
            latency_first: false,
        },
        versions: &BRIEFS,
    },
    Class {
        share: 0.4,
        goal: plan::Goal {
            quality: 0.90,
            time_limit: Duration::from_secs(3),
            latency_first: true,
        },
        versions: &TAGS,
    },
    Class {
        share: 0.2,
        goal: plan::Goal {
            quality: 0.90,
            time_limit: Duration::from_secs(20),
            latency_first: true,
        },
        versions: &SHEETS,
    },
];
