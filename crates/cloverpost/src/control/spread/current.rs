//! The current catalogue of the VM.

use std::sync::Arc;

use cloverpost_core::{catalogue, spread, time};

/// The current catalogue of the VM and its validity.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// Revision of the catalogue, and the end of its validity.
    pub view: spread::View,
    /// The catalogue.
    pub catalogue: Arc<catalogue::Catalogue>,
}

impl Current {
    /// Whether new work may be taken at `now`. To be checked at each admission.
    #[must_use]
    pub fn confirmed(&self, now: time::Moment) -> bool {
        self.view.confirmed(now)
    }
}
