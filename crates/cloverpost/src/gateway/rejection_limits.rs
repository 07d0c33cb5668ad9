//! Upstreams that state how many rejections a second they survive.

use cloverpost_core::fragile::Change;
use cloverpost_core::throttle::Rate;
use cloverpost_core::{directory, time};

use crate::gateway::Shared;
use crate::gateway::codec::{Codec, Stated};
use crate::gateway::job::Job;
use crate::gateway::stated_limit;

/// Records what `upstream` states in a response to a request sent at `sent`. A rejection without a
/// statement does not show its end.
pub fn record_response<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    sent: time::Moment,
    stated: &Stated<Rate>,
    is_rejection: bool,
) {
    let now = shared.clock.now();
    if let Some(change) = record_statement(shared, job, upstream, sent, stated, is_rejection) {
        log_change(job, upstream, change);
    }
    if !is_rejection {
        shared.admission().fragile.record_response(upstream);
        return;
    }
    // The rejected request still has its slot.
    let accepted = shared.balancer().in_flight(&upstream.id).saturating_sub(1);
    let (is_news, limit) = {
        let mut admission = shared.admission();
        let fragile = &mut admission.fragile;
        let is_news = fragile.record_rejection(upstream, accepted, now);
        (is_news, fragile.limit(&upstream.service))
    };
    if is_news {
        shared.rejection_news.notify_one();
    }
    if let Some(limit) = limit {
        let service = job.service.as_str();
        let rejections = &shared.metrics.fragile.rejections;
        rejections.with_label_values(&[service]).inc();
        log::info!(
            id = job.head.id.as_str(), upstream = upstream.id.as_str(), limit:% = limit, accepted;
            "a fragile upstream rejected the request"
        );
    }
}

fn record_statement<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    sent: time::Moment,
    stated: &Stated<Rate>,
    is_rejection: bool,
) -> Option<Change> {
    let stated = stated_limit::read(job, upstream, stated, is_rejection).ok()?;
    let now = shared.clock.now();
    let mut admission = shared.admission();
    let fragile = &mut admission.fragile;
    let change = fragile.record_statement(&job.service, stated, sent, now);
    shared.metrics.fragile.set_services(fragile.count());
    change
}

fn log_change(job: &Job, upstream: &directory::Upstream, change: Change) {
    let id = job.head.id.as_str();
    let (service, upstream) = (job.service.as_str(), upstream.id.as_str());
    match change {
        Change::Stated(limit) => {
            log::info!(id, service, upstream, limit:% = limit; "the service states a rejection limit");
        }
        Change::Ended => {
            log::info!(id, service, upstream; "the service no longer states a rejection limit");
        }
    }
}
