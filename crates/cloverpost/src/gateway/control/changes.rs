//! Log lines on changes of what is believed.

use cloverpost_core::directory::View;

/// Tells what differs between two views.
pub(super) fn note(last: &View, view: &View) {
    let number = |view: &View| view.index.as_ref().map(|index| index.number());
    if number(last) != number(view) {
        log::info!(before:? = number(last), now:? = number(view); "configuration in force");
    }
    for (service, pool) in &view.pools {
        let before = last.pools.get(service);
        let allowed = before.map(|pool| &pool.allowed);
        if allowed != Some(&pool.allowed) {
            log::info!(service = service.as_str(), allowed:? = pool.allowed; "versions in use");
        }
        for upstream in pool.without(before) {
            log::info!(
                upstream = upstream.id.as_str(), service = service.as_str(),
                version = upstream.version.as_str(), zone = upstream.zone.as_str();
                "upstream takes work"
            );
        }
    }
    for (service, pool) in &last.pools {
        for upstream in pool.without(view.pools.get(service)) {
            log::info!(upstream = upstream.id.as_str(), service = service.as_str(); "upstream gets no more work");
        }
    }
}
