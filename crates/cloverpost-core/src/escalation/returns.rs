//! Callers that come back with little time left.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Part of the longest patience below which a caller has come back. Callers of one route
/// differ by a sixth in what they state; one that comes back after silence has half left.
const PART: f64 = 0.6;

/// Longest time that callers of each route wait.
///
/// A caller that comes back after a lost connection says how long it still waits, not
/// that it has waited before; it shows in what it lacks against the others.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    longest: HashMap<id::Entry, Duration>,
}

impl Returns {
    /// Takes in a caller of `route` that still waits for `patience`; whether it has come
    /// back.
    pub fn is_return(&mut self, route: &id::Entry, patience: Duration) -> bool {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = patience.max(*longest);
            return patience < longest.mul_f64(PART);
        }
        self.longest.insert(route.clone(), patience);
        false
    }
}
