//! What upstreams say of themselves in their responses.

use cloverpost_core::time;

use crate::gateway::codec::{Classification, Codec};
use crate::gateway::job::Job;
use crate::gateway::pool::Connection;
use crate::gateway::slot::UpstreamSlot;
use crate::gateway::{Shared, pushback, rate_limits, rejection_limits};

/// Records what the slot's upstream says in the head of a response to a request sent at `sent`.
pub fn record<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    connection: &Connection,
    sent: time::Moment,
    head: &http::response::Parts,
    classification: Classification,
) {
    // Another process runs under the id by now, and says nothing in this response.
    if !slot.is_current() {
        return;
    }
    let upstream = &slot.upstream;
    let statements = shared.codec.statements(&job.head.id, head);
    pushback::record_response(shared, job, upstream, connection, &statements);
    let is_rejection = classification == Classification::AtCapacity;
    let ran = matches!(
        classification,
        Classification::Failed | Classification::Succeeded { .. }
    );
    // The absence of a limit in a corrupt response does not show its end.
    if !is_rejection && !ran {
        return;
    }
    let limit = &statements.rate_limit;
    rate_limits::record_response(shared, job, upstream, sent, limit, is_rejection);
    let limit = &statements.rejection_limit;
    rejection_limits::record_response(shared, job, upstream, sent, limit, is_rejection);
}
