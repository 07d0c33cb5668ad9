//! Logs differences between published views.

use cloverpost_core::directory::View;
use cloverpost_core::id;

/// Maximum number of upstreams of a service logged individually per view change. Thousands of
/// lines would delay the start of a VM.
const LOGGED_UPSTREAMS_MAX: usize = 200;

/// Logs the differences between `last` and `view`.
pub(super) fn log_changes(last: &View, view: &View) {
    let number = |view: &View| view.index.as_ref().map(|index| index.number());
    if number(last) != number(view) {
        log::info!(before:? = number(last), now:? = number(view); "configuration in force");
    }
    for zone in view.evacuated.difference(&last.evacuated) {
        log::info!(zone = zone.as_str(); "availability zone gets no more work");
    }
    for zone in last.evacuated.difference(&view.evacuated) {
        log::info!(zone = zone.as_str(); "availability zone takes work again");
    }
    for (service, pool) in &view.pools {
        let before = last.pools.get(service);
        let allowed = before.map(|pool| &pool.allowed);
        if allowed != Some(&pool.allowed) {
            log::info!(service = service.as_str(), allowed:? = pool.allowed; "versions in use");
        }
        let new: Vec<_> = pool.difference(before).collect();
        for upstream in new.iter().take(LOGGED_UPSTREAMS_MAX) {
            log::info!(
                upstream = upstream.id.as_str(), service = service.as_str(),
                version = upstream.version.as_str(), zone = upstream.zone.as_str();
                "upstream takes work"
            );
        }
        log_remainder(service, new.len(), "more upstreams take work");
    }
    for (service, pool) in &last.pools {
        let gone: Vec<_> = pool.difference(view.pools.get(service)).collect();
        for upstream in gone.iter().take(LOGGED_UPSTREAMS_MAX) {
            log::info!(upstream = upstream.id.as_str(), service = service.as_str(); "upstream gets no more work");
        }
        log_remainder(service, gone.len(), "more upstreams get no more work");
    }
}

/// Logs how many of `count` upstreams were not logged individually.
fn log_remainder(service: &id::Pool, count: usize, what: &str) {
    let more = count.saturating_sub(LOGGED_UPSTREAMS_MAX);
    if more > 0 {
        log::info!(service = service.as_str(), more; "{what}");
    }
}
