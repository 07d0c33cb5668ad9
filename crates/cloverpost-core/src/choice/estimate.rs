//! Estimated load of an upstream.

use crate::choice::{Options, Upstream};
use crate::time;

/// Weight of a report sampled at `taken`, decaying from 1 towards 0.
///
/// The decay is hyperbolic, which is cheaper to compute than an exponential.
fn weight(taken: time::Moment, now: time::Moment, options: &Options) -> f64 {
    let half_life = options.report_half_life.as_secs_f64();
    let age = now.since(taken).as_secs_f64();
    half_life / (half_life + age)
}

/// Estimated requests on `upstream`. An old report decays towards `prior`.
///
/// Own requests always count in full, since their number is exact.
pub(super) fn load(upstream: &Upstream, prior: f64, options: &Options, now: time::Moment) -> f64 {
    let own = f64::from(upstream.in_flight());
    let Some(report) = upstream.report() else {
        return own + prior;
    };
    let weight = weight(report.taken(), now, options);
    own + weight * f64::from(report.peer_load()) + (1.0 - weight) * prior
}

/// Load caused by other VMs on `upstream` in its last report, regardless of age.
pub(super) fn reported(upstream: &Upstream) -> Option<f64> {
    upstream
        .report()
        .map(|report| f64::from(report.peer_load()))
}
