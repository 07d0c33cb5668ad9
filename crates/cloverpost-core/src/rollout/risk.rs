//! Risk of keeping a version about which little is known.
//!
//! A test that finds no regression does not show that there is none: of eight responses on a route, a
//! version that fails a fifth may fail none. So the risk is stated in requests: those that the version
//! spoils if it is as bad as the evidence still allows, times the probability of that. It is low if
//! the evidence rules a regression out, and also if hardly any request is at stake.

use std::slice;

use crate::evidence;
use crate::rollout::{Evidence, sequential_test};

/// Drops of the rate of good responses that a version is suspected of.
const DROPS: [f64; 3] = [0.1, 0.2, 0.4];
/// Probability of each suspicion before any response of the version is known.
const PRIOR: f64 = 0.05;

/// Returns the expected number of requests that the new version spoils among as many as `routes` have
/// responses of the old one. It is suspected of a drop on all routes and of one on each of them.
#[must_use]
pub fn expected_losses(routes: &[Evidence]) -> f64 {
    let each = routes.iter().map(|route| losses(slice::from_ref(route)));
    losses(routes) + each.sum::<f64>()
}

fn losses(routes: &[Evidence]) -> f64 {
    let requests = routes
        .iter()
        .fold(evidence::Counts::default(), |sum, route| {
            sum.saturating_add(route.old)
        })
        .total();
    let requests = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
    let log_ratios = sequential_test::log_ratios_of_decline(routes, DROPS);
    let suspicions = DROPS.into_iter().zip(log_ratios);
    let each = suspicions.map(|(drop, log_ratio)| drop * posterior(log_ratio));
    let drops = f64::from(u32::try_from(DROPS.len()).unwrap_or(u32::MAX));
    requests * each.sum::<f64>() / drops
}

/// Returns the probability of a suspicion, given the log likelihood ratio of it to no drop.
fn posterior(log_ratio: f64) -> f64 {
    let odds = PRIOR / (1.0 - PRIOR) * log_ratio.exp();
    if odds.is_finite() {
        odds / (1.0 + odds)
    } else {
        1.0
    }
}
