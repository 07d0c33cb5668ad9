//! Acquires a slot on an upstream, queueing the request while all upstreams are full.

use std::sync::Arc;

use cloverpost_core::dispatch::Dispatch;
use cloverpost_core::id;
use cloverpost_core::overload::Ticket;
use cloverpost_core::refusal::{Code, Refusal};

use crate::front::job::Job;
use crate::front::{State, pick};
use crate::overload::Queue;
use crate::snapshot;
use crate::upstream;

/// Acquires a slot for `job`, immediately if one is free and no request is queued.
pub async fn acquire(
    state: &State,
    job: &Job,
    tried: &[id::Vm],
    dispatch: &Dispatch,
) -> Result<upstream::Slot, Refusal> {
    let Some(queue) = pool_queue(state, job) else {
        return Err(dispatch.no_upstream());
    };
    let try_acquire = || pick::reserve_slot(state, &job.entry.pool, job.affinity, tried);
    if queue.is_empty()
        && let Some(slot) = try_acquire()
    {
        return Ok(slot);
    }
    let ticket = ticket(state, job, &queue);
    let Some(waiter) = queue.enqueue(ticket) else {
        return Err(shed(state, job, dispatch));
    };
    // A slot may have been released just before the request was queued. It goes to the queued
    // request of the highest value.
    if let Some(slot) = try_acquire() {
        drop(queue.assign(slot));
    }
    count(&state.metrics.queued, job);
    let slot = waiter.slot(ticket.deadline).await;
    let slot = slot.ok_or_else(|| shed(state, job, dispatch))?;
    check_still_admitted(state, job, dispatch)?;
    Ok(slot)
}

/// Returns the queue of the job's pool, if an upstream of the pool accepts work.
fn pool_queue(state: &State, job: &Job) -> Option<Arc<Queue>> {
    let snapshot = state.snapshot.load();
    let upstreams = snapshot.pool(&job.entry.pool);
    let any_accepts = upstreams.iter().any(snapshot::Upstream::accepts_requests);
    let queue = snapshot.queues.get(&job.entry.pool).cloned();
    queue.filter(|_| any_accepts)
}

/// Returns the queue ticket of `job`: its value and the latest time at which it may start.
fn ticket(state: &State, job: &Job, queue: &Queue) -> Ticket {
    let snapshot = state.snapshot.load();
    let class = snapshot.catalogue.class(&job.entry.class);
    Ticket {
        value: class.map_or(0, |class| class.value),
        deadline: queue.latest_start(job.deadline()),
    }
}

/// Refuses a request that may no longer run once it leaves the queue.
///
/// While it was queued, its version may have been withdrawn or the confirmation of the
/// catalogue may have expired.
fn check_still_admitted(state: &State, job: &Job, dispatch: &Dispatch) -> Result<(), Refusal> {
    let snapshot = state.snapshot.load();
    if !snapshot.is_confirmed(state.clock.now()) {
        let message = "this VM's catalogue is not confirmed";
        return Err(dispatch.refusal(Code::Unconfirmed, message));
    }
    let entry = snapshot.catalogue.entry(&job.entry.name);
    let serves = entry.is_some_and(|entry| {
        let is_same_version = entry.version == job.entry.version;
        is_same_version && (entry.state.accepts_new_requests() || entry.state == job.entry.state)
    });
    if serves {
        return Ok(());
    }
    let message = "the version was withdrawn while the request waited";
    Err(dispatch.refusal(Code::NoUpstream, message))
}

/// Counts a shed request and returns its refusal.
fn shed(state: &State, job: &Job, dispatch: &Dispatch) -> Refusal {
    count(&state.metrics.shed, job);
    dispatch.refusal(Code::Overloaded, "every upstream is full")
}

fn count(counter: &prometheus::IntCounterVec, job: &Job) {
    counter.with_label_values(&[job.entry.pool.as_str()]).inc();
}
