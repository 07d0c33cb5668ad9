//! Rate limits that upstreams state in their responses.

use cloverpost_core::throttle::{Change, Rate};
use cloverpost_core::{directory, time};

use crate::gateway::Shared;
use crate::gateway::codec::{Codec, Stated};
use crate::gateway::job::Job;
use crate::gateway::stated_limit;

/// Counts and logs a send to `upstream` if it states a limit.
pub fn record_send<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    kind: &'static str,
) {
    let now = shared.clock.now();
    let Some(rate) = shared.admission().throttle.rate(&upstream.id, now) else {
        return;
    };
    let sends = &shared.metrics.rate_limits.sends;
    sends.with_label_values(&[job.service.as_str(), kind]).inc();
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), limit:% = rate, kind;
        "request is sent to an upstream with a rate limit"
    );
}

/// Records the limit that `upstream` states in a response to a request sent at `sent`. A rejection
/// without a limit does not show that the limit has ended.
pub fn record_response<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    sent: time::Moment,
    stated: &Stated<Rate>,
    is_rejection: bool,
) {
    let Ok(stated) = stated_limit::read(job, upstream, stated, is_rejection) else {
        return;
    };
    let id = job.head.id.as_str();
    let now = shared.clock.now();
    let now_ms = shared.store_now_ms();
    let (change, count) = {
        let mut admission = shared.admission();
        let throttle = &mut admission.throttle;
        let change = throttle.record_response(&upstream.id, stated, sent, now, now_ms);
        (change, throttle.count())
    };
    shared.metrics.rate_limits.set_upstreams(count);
    let upstream = upstream.id.as_str();
    match change {
        Some(Change::Stated(rate)) => {
            log::info!(id, upstream, limit:% = rate; "the upstream states a rate limit");
        }
        Some(Change::Ended) => {
            log::info!(id, upstream; "the upstream no longer states a rate limit");
        }
        None => {}
    }
}
