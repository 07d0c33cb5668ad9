//! Upstreams that asked this VM to send them nothing.

use std::time::Duration;

use cloverpost_core::directory;
use cloverpost_core::pushback::Block;

use crate::gateway::Shared;
use crate::gateway::codec::{Codec, Stated, Statements};
use crate::gateway::job::Job;
use crate::gateway::response;

/// Whether `upstream`, which was selected for `job`, has asked for no requests since, as the request
/// waited for a connection. `kind` is that of the attempt.
pub fn is_blocked<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    kind: &'static str,
) -> bool {
    let now = shared.clock.now();
    let (block, age) = {
        let admission = shared.admission();
        let pushback = &admission.pushback;
        (
            pushback.block(&upstream.id, now),
            pushback.age(&upstream.id, now),
        )
    };
    let Some(block) = block.filter(|block| *block == Block::Leaving) else {
        return false;
    };
    let withheld = &shared.metrics.pushback.withheld;
    let labels = [job.service.as_str(), block.as_str(), kind];
    withheld.with_label_values(&labels).inc();
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), block:%, kind,
        age_ms = response::millis(age.unwrap_or_default());
        "the upstream asked for no requests as this one waited for a connection"
    );
    true
}

/// Records what `upstream` asks for in a response.
pub fn record_response<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    statements: &Statements,
) {
    if read(job, upstream, &statements.leaving).is_some_and(|is_leaving| is_leaving) {
        record_leaving(shared, job, upstream);
    }
    if let Some(rest) = read(job, upstream, &statements.rest) {
        record_rest(shared, job, upstream, rest);
    }
}

fn record_leaving<C: Codec>(shared: &Shared<C>, job: &Job, upstream: &directory::Upstream) {
    let now = shared.clock.now();
    let is_new = shared
        .admission()
        .pushback
        .record_leaving(&upstream.id, now);
    if !is_new {
        return;
    }
    // Requests in flight keep their connections.
    shared.pool.close_idle(&upstream.id);
    record_block(shared, Block::Leaving);
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), service = upstream.service.as_str();
        "the upstream says that it leaves"
    );
}

fn record_rest<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    rest: Duration,
) {
    let now = shared.clock.now();
    let draw = rand::random();
    let is_new = { shared.admission() }
        .pushback
        .record_rest(&upstream.id, rest, draw, now);
    if !is_new {
        return;
    }
    record_block(shared, Block::Resting);
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), service = upstream.service.as_str(),
        rest_ms = response::millis(rest);
        "the upstream asks for rest"
    );
}

/// Logs the rests that have ended, and counts the upstreams that get no request.
pub fn record_ends<C: Codec>(shared: &Shared<C>) {
    let now = shared.clock.now();
    let (ended, counts) = {
        let mut admission = shared.admission();
        let pushback = &mut admission.pushback;
        let counts = Block::ALL.map(|block| (block, pushback.count(block, now)));
        (pushback.take_ended(now), counts)
    };
    for (upstream, lasted) in ended {
        log::info!(
            upstream = upstream.as_str(), lasted_ms = response::millis(lasted);
            "the rest that the upstream asked for is over"
        );
    }
    for (block, count) in counts {
        shared.metrics.pushback.set_upstreams(block, count);
    }
}

fn record_block<C: Codec>(shared: &Shared<C>, block: Block) {
    let asked = &shared.metrics.pushback.asked;
    asked.with_label_values(&[block.as_str()]).inc();
}

/// The value that `upstream` states, if it can be read.
fn read<T: Copy>(job: &Job, upstream: &directory::Upstream, stated: &Stated<T>) -> Option<T> {
    match stated {
        Stated::Absent => None,
        Stated::Value(value) => Some(*value),
        Stated::Malformed(value) => {
            log::warn!(
                id = job.head.id.as_str(), upstream = upstream.id.as_str(), value = value.as_str();
                "what the upstream asks for cannot be read, what was known of it stays"
            );
            None
        }
    }
}
