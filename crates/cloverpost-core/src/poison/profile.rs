//! What a request may have in common with others that crash upstreams.

use std::sync::Arc;

use crate::poison::{Feature, Fingerprint, Part};

/// What a request may have in common with others that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Equal for copies of the request.
    pub request: Fingerprint,
    /// Parts of its prompt that other requests may have, in order.
    pub parts: Arc<[Part]>,
}

impl Profile {
    /// All features of the request, the narrowest first.
    pub fn features(&self) -> impl Iterator<Item = Feature> {
        let parts = self.parts.iter().copied().map(Feature::Part);
        std::iter::once(Feature::Request(self.request)).chain(parts)
    }

    /// The parts, separated by commas.
    #[must_use]
    pub fn parts_text(&self) -> String {
        let texts: Vec<_> = self.parts.iter().map(Part::to_string).collect();
        texts.join(",")
    }
}
