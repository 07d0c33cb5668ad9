//! Connection for one attempt: an idle one, a new one, or one that the request waits for.

use std::error::Error;
use std::io;
use std::sync::Arc;

use cloverpost_core::balance::Event;
use cloverpost_core::connections::Wait;
use cloverpost_core::dispatch::Failure;
use cloverpost_core::{id, time};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::connections::{self, Grant, Permit, Waiting};
use crate::gateway::job::Job;
use crate::gateway::path;
use crate::gateway::pool::{Acquired, Connection};
use crate::gateway::response;
use crate::gateway::selection;
use crate::gateway::slot::UpstreamSlot;

/// Why there is no new connection.
enum NotOpened {
    /// The connect failed.
    Unreachable,
    /// The upstream closed the connection right after it accepted it.
    Reset,
}

/// A connection to the slot's upstream for `job`.
///
/// A request that no other upstream takes waits for up to half of the time that it has left.
pub async fn connection<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
) -> Result<Connection, Failure> {
    let started = shared.clock.now();
    let wait = Wait::new(job.deadline.since(started));
    let upstream = &slot.upstream;
    let non_idempotent = !job.route.kind.is_idempotent();
    connections::update_bound(shared, upstream);
    loop {
        let acquired = shared
            .pool
            .acquire(&upstream.id, non_idempotent, job.priority());
        let permit = match acquired {
            Acquired::Connection(connection) => return Ok(connection),
            Acquired::Permit(permit) => permit,
            Acquired::Waiting(waiting) => {
                match wait_for_grant(shared, job, slot, waiting, started, wait).await? {
                    Grant::Connection(mut connection) => {
                        if connection.ready().await {
                            return Ok(connection);
                        }
                        continue;
                    }
                    Grant::Permit(permit) => permit,
                }
            }
        };
        match open(shared, job, slot, permit).await {
            Ok(connection) => return Ok(connection),
            Err(NotOpened::Unreachable) => return Err(Failure::NotSent),
            Err(NotOpened::Reset) => {
                let waited = shared.clock.now().since(started);
                if waited >= wait.alone || selection::has_other_upstream(shared, job, upstream) {
                    return Err(Failure::NotSent);
                }
            }
        }
    }
}

/// Waits for a connection or leave to open one, since `started`.
async fn wait_for_grant<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    mut waiting: Waiting,
    started: time::Moment,
    wait: Wait,
) -> Result<Grant, Failure> {
    let since = shared.clock.now();
    loop {
        let left = wait.alone.saturating_sub(shared.clock.now().since(started));
        let step = left.min(wait.with_others);
        let granted = tokio::time::timeout(step, waiting.granted()).await;
        if let Ok(Some(grant)) = granted {
            let result = match grant {
                Grant::Connection(_) => "connection",
                Grant::Permit(_) => "opened",
            };
            record_wait(shared, job, slot, since, result);
            return Ok(grant);
        }
        let result = if selection::has_other_upstream(shared, job, &slot.upstream) {
            "moved"
        } else if step == left {
            "expired"
        } else {
            continue;
        };
        record_wait(shared, job, slot, since, result);
        return Err(Failure::NotSent);
    }
}

fn record_wait<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    since: time::Moment,
    result: &str,
) {
    let waits = &shared.metrics.connections.waits;
    waits
        .with_label_values(&[job.service.as_str(), result])
        .inc();
    let upstream = &slot.upstream.id;
    let (open, limit) = shared.pool.connections().status(upstream);
    let waited = shared.clock.now().since(since);
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.as_str(), result, priority = job.priority(),
        waited_ms = response::millis(waited), open, bound:? = limit;
        "request waited for a connection to the upstream"
    );
}

/// Opens a connection. One that is used for a non-idempotent request, or while the upstream resets
/// connections, has to stay open for a moment first: after a later reset it would be unknown whether
/// the request ran.
async fn open<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    slot: &UpstreamSlot<C>,
    permit: Permit,
) -> Result<Connection, NotOpened> {
    shared.metrics.connections.opened.inc();
    let upstream = &slot.upstream;
    let since = permit.since;
    let opened = path::connect(shared, upstream, permit).await;
    if matches!(opened, Err(path::Error::Reset)) {
        return Err(record_unsent(shared, job, &upstream.id, since));
    }
    let mut connection = opened.map_err(|error| {
        log::info!(
            upstream = upstream.id.as_str(), address:% = upstream.address, why:? = error;
            "no connection to the upstream"
        );
        match error {
            path::Error::Down(_) => slot.record(Event::Refused),
            path::Error::NoPath(_) => slot.record(Event::Broke),
            path::Error::Reset => {}
        }
        NotOpened::Unreachable
    })?;
    let is_checked =
        !job.route.kind.is_idempotent() || shared.pool.connections().is_reduced(&upstream.id);
    if !is_checked || connection.settle().await {
        return Ok(connection);
    }
    Err(record_unsent(shared, job, &upstream.id, since))
}

/// Records a reset before the request was written, of a connection that was asked for at `since`.
fn record_unsent<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &id::Upstream,
    since: time::Moment,
) -> NotOpened {
    let reset = Reset {
        since,
        at: shared.clock.now(),
        when: "before",
    };
    record_reset(shared, job, upstream, reset);
    NotOpened::Reset
}

/// Reset of a new connection.
#[derive(Clone, Copy, Debug)]
pub struct Reset {
    /// When leave to open the connection was given.
    pub since: time::Moment,
    /// When the reset was seen.
    pub at: time::Moment,
    /// `before` or `after` a request was written.
    pub when: &'static str,
}

/// Records that `upstream` reset a new connection.
pub fn record_reset<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &id::Upstream,
    reset: Reset,
) {
    let Reset { since, at, when } = reset;
    let age = at.since(since);
    let resets = &shared.metrics.connections.resets;
    resets
        .with_label_values(&[job.service.as_str(), when])
        .observe(age.as_secs_f64());
    let is_reduced = shared.pool.connections().record_reset(upstream, since);
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.as_str(), when, age_ms = response::millis(age);
        "the upstream reset a new connection"
    );
    if is_reduced.is_some() {
        connections::log_change(shared, upstream, connections::REDUCED);
    }
}

/// Whether `error` says that the peer reset the connection, rather than closed it.
pub fn is_reset(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            let kind = error.kind();
            return matches!(
                kind,
                io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
            );
        }
        source = error.source();
    }
    false
}
