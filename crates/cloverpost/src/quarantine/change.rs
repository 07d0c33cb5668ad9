//! Changes that facts of peers make.

use cloverpost_core::poison::Fingerprint;

/// A change to a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The request was quarantined.
    Quarantined(Fingerprint),
    /// There is further evidence against a quarantined request.
    Confirmed(Fingerprint),
    /// The request was released.
    Released(Fingerprint),
}

impl Change {
    /// The request that changed.
    #[must_use]
    pub const fn fingerprint(&self) -> &Fingerprint {
        match self {
            Self::Quarantined(fingerprint)
            | Self::Confirmed(fingerprint)
            | Self::Released(fingerprint) => fingerprint,
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
