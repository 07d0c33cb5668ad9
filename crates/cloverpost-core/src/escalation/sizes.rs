//! Usual sizes of requests by route.

use std::collections::HashMap;

use crate::id;

/// Part of a new size in the mean. Sizes of one route differ tenfold, so the mean takes
/// in some tens of them.
const PART: f64 = 0.03;
/// Bounds of a size against the usual one. Answers to larger requests are worth no more
/// than four times the usual.
const BOUNDS: (f64, f64) = (0.3, 4.0);
/// Size that is taken for usual where callers state none, in tokens: that of a summary.
const UNSTATED: f64 = 4_000.0;
/// Worth of a request however small it is, against the usual one.
const LEAST: f64 = 0.3;

/// Mean size of the requests of each route, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    means: HashMap<id::Entry, f64>,
}

impl Sizes {
    /// Mean size of the requests of `route`.
    #[must_use]
    pub fn usual(&self, route: &id::Entry) -> f64 {
        self.means.get(route).copied().unwrap_or(UNSTATED)
    }

    /// Takes in a request of `size` tokens on `route`; its worth against the usual one,
    /// which grows with its size.
    pub fn relative(&mut self, route: &id::Entry, size: f64) -> f64 {
        if size <= 0.0 {
            return 1.0;
        }
        if let Some(mean) = self.means.get_mut(route) {
            *mean += (size - *mean) * PART;
            return worth(size / *mean);
        }
        self.means.insert(route.clone(), size);
        1.0
    }
}

fn worth(relative: f64) -> f64 {
    (LEAST + (1.0 - LEAST) * relative).clamp(BOUNDS.0, BOUNDS.1)
}
