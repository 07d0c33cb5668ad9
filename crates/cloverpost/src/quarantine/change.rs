//! Changes that facts of peers make.

use cloverpost_core::poison::Feature;

/// A change to a quarantined feature of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The feature was quarantined.
    Quarantined(Feature),
    /// There is further evidence against a quarantined feature.
    Confirmed(Feature),
    /// The feature was released.
    Released(Feature),
}

impl Change {
    /// The feature that changed.
    #[must_use]
    pub const fn feature(&self) -> &Feature {
        match self {
            Self::Quarantined(feature) | Self::Confirmed(feature) | Self::Released(feature) => {
                feature
            }
        }
    }

    /// Name of the change, for metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Quarantined(_) => "quarantined",
            Self::Confirmed(_) => "confirmed",
            Self::Released(_) => "released",
        }
    }
}
