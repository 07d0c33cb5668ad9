//! Log lines on changes of what is believed.

use cloverpost_core::directory::View;
use cloverpost_core::{directory, id};

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
        let is_in = |pool: &directory::Pool, id: &id::Upstream| {
            pool.upstreams.iter().any(|one| one.id == *id)
        };
        for upstream in &pool.upstreams {
            if !before.is_some_and(|before| is_in(before, &upstream.id)) {
                log::info!(
                    upstream = upstream.id.as_str(), service = service.as_str(),
                    version = upstream.version.as_str(), zone = upstream.zone.as_str();
                    "upstream takes work"
                );
            }
        }
    }
    for (service, pool) in &last.pools {
        for upstream in &pool.upstreams {
            let now = view.pools.get(service);
            if !now.is_some_and(|now| now.upstreams.iter().any(|one| one.id == upstream.id)) {
                log::info!(upstream = upstream.id.as_str(), service = service.as_str(); "upstream gets no more work");
            }
        }
    }
}
