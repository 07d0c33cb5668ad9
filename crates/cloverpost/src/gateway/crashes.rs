//! Requests that crash the upstreams that run them.
//!
//! An attempt that loses its connection to an upstream that then refuses connections is evidence
//! against the request: its upstream crashed under it. So does one of many requests that were in
//! flight as an upstream crashed for another reason. A request that crashed several upstreams and
//! succeeded on none is refused, on all VMs, until the quarantine is over.
//!
//! A cold upstream crashes under load that it does not bear yet, which is no evidence against the
//! requests that it got.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory;
use cloverpost_core::dispatch::{Dispatch, Failure};
use cloverpost_core::poison::{Evidence, Options, Status, Successes};
use cloverpost_core::refusal::{Code, Refusal};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;

/// Options of the quarantine. A request whose upstream crashes for another reason may meet a
/// second crash on its retry, but hardly a third.
pub const OPTIONS: Options = Options {
    expiry: Duration::from_mins(10),
    capacity: 4_096,
    threshold: 3,
};
/// Number of successes to remember, at about 40 bytes each.
const SUCCESSES: usize = 8_192;
/// Delay before the check of an upstream that closed a connection. The sockets of a process that
/// ends are closed one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Longest delay of a job for the check. A host that lost power does not answer it.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(50);
/// Message of the refusal.
const REASON: &str = "this request has crashed the upstreams that ran it";

/// Creates an empty record of successes.
pub fn no_successes() -> Successes {
    Successes::new(SUCCESSES, OPTIONS.expiry)
}

/// Whether `job` must not run. Releases it if a copy succeeded on this VM lately.
pub fn is_quarantined<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) -> bool {
    if status(shared, job) != Status::Quarantined {
        return false;
    }
    let now = shared.clock.now();
    let has_succeeded = shared.successes().contains(job.fingerprint().prefix(), now);
    if has_succeeded {
        lift(shared, job, "a copy succeeded on this VM before");
    }
    !has_succeeded
}

/// The refusal of a quarantined job that has not run.
pub fn refusal<C: Codec>(shared: &Shared<C>, job: &Job) -> Refusal {
    let now = shared.clock.now();
    let fingerprint = job.fingerprint();
    log::info!(id = job.head.id.as_str(), fingerprint:%; "quarantined request rejected");
    Refusal {
        opens_after: shared.quarantine.remaining(&fingerprint, now),
        ..Refusal::not_run(Code::Quarantined, REASON)
    }
}

/// Ends a quarantined job after a failed attempt.
pub fn stop(dispatch: &mut Dispatch, failure: Failure) -> Refusal {
    dispatch.record_last_failure(failure);
    dispatch.refusal(Code::Quarantined, REASON)
}

/// Records that `upstream` closed the connection while it may have run `job`.
///
/// Waits for the check whether it crashed, up to [`MAX_CHECK_WAIT`]: a job that is sent again, or
/// whose caller returns, before other VMs know of the crash would crash the next upstream.
pub async fn record_lost<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
) {
    let check = check_crash(shared.clone(), job.clone(), upstream.clone());
    // After the timeout, the check goes on in the background. It does not panic.
    let _ = tokio::time::timeout(MAX_CHECK_WAIT, tokio::spawn(check)).await;
}

/// Records a crash if `upstream` refuses connections, and tells other VMs.
async fn check_crash<C: Codec>(
    shared: Arc<Shared<C>>,
    job: Job,
    upstream: Arc<directory::Upstream>,
) {
    tokio::time::sleep(CHECK_DELAY).await;
    let is_cold = shared.cold().is_cold(&upstream.id, shared.clock.now());
    if is_cold || !shared.pool.is_refused(&upstream).await {
        return;
    }
    let fingerprint = job.fingerprint();
    let service = upstream.service.as_str();
    log::info!(
        id = job.head.id.as_str(), upstream = upstream.id.as_str(), service, fingerprint:%;
        "upstream crashed under the request"
    );
    shared.metrics.crashes.with_label_values(&[service]).inc();
    let evidence = Evidence::of_process(&upstream);
    let now = shared.clock.now();
    let recorded = shared.quarantine.record_crash(fingerprint, evidence, now);
    recorded.await;
}

/// Records that `job` succeeded, and dismisses evidence against it.
pub fn record_success<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) {
    let now = shared.clock.now();
    shared.successes().record(job.fingerprint().prefix(), now);
    if status(shared, job) != Status::Clear {
        lift(shared, job, "it succeeded");
    }
}

/// Dismisses the evidence against `job`.
fn lift<C: Codec>(shared: &Arc<Shared<C>>, job: &Job, why: &str) {
    let (shared, fingerprint) = (shared.clone(), job.fingerprint());
    log::info!(
        id = job.head.id.as_str(), fingerprint:%, why;
        "evidence against the request is dismissed"
    );
    tokio::spawn(async move {
        let now = shared.clock.now();
        shared.quarantine.lift(fingerprint, now).await;
    });
}

/// Status of `job`. Its body is hashed only if there is evidence against any request.
fn status<C: Codec>(shared: &Shared<C>, job: &Job) -> Status {
    if shared.quarantine.is_empty() {
        return Status::Clear;
    }
    let now = shared.clock.now();
    shared.quarantine.status(&job.fingerprint(), now)
}
