//! Moving average of the request size by route.

use std::collections::HashMap;

use crate::id;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Bounds of the relative worth of a request.
const WORTH_BOUNDS: (f64, f64) = (0.3, 4.0);
/// Mean size assumed for a route without recorded requests, in tokens.
const DEFAULT_SIZE: f64 = 4_000.0;
/// Size-independent part of the relative worth.
const BASE_WORTH: f64 = 0.3;

/// Moving average of the request size of each route, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    means: HashMap<id::Entry, f64>,
}

impl Sizes {
    /// Mean size of the requests of `route`.
    #[must_use]
    pub fn mean(&self, route: &id::Entry) -> f64 {
        self.means.get(route).copied().unwrap_or(DEFAULT_SIZE)
    }

    /// Records a request of `size` tokens on `route` and returns its worth relative to a request
    /// of mean size.
    pub fn record_relative(&mut self, route: &id::Entry, size: f64) -> f64 {
        if size <= 0.0 {
            return 1.0;
        }
        if let Some(mean) = self.means.get_mut(route) {
            *mean += (size - *mean) * SAMPLE_WEIGHT;
            return relative_worth(size / *mean);
        }
        self.means.insert(route.clone(), size);
        1.0
    }
}

fn relative_worth(relative_size: f64) -> f64 {
    (BASE_WORTH + (1.0 - BASE_WORTH) * relative_size).clamp(WORTH_BOUNDS.0, WORTH_BOUNDS.1)
}
