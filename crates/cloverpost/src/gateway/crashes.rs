//! Requests that crash the upstreams that run them.
//!
//! An attempt that loses its connection to an upstream that no VM reaches then is evidence against
//! the request: its upstream crashed under it. So does one of many requests that were in
//! flight as an upstream crashed for another reason. A request that crashed several upstreams and
//! succeeded on none is refused, on all VMs, until the quarantine is over.
//!
//! An attempt that this VM gave up, as for a larger model, may crash its upstream a moment later. It
//! is checked if there is or comes other evidence against its request.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory;
use cloverpost_core::dispatch::{Dispatch, Failure};
use cloverpost_core::poison::{Evidence, GivenUp, Options, Profile, Status, Successes};
use cloverpost_core::refusal::{Code, Refusal};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;
use crate::gateway::path::{self, Loss};

/// Options of the quarantine. A request whose upstream crashes for another reason may meet a
/// second crash on its retry, but hardly a third.
pub const OPTIONS: Options = Options {
    expiry: Duration::from_mins(10),
    capacity: 4_096,
    threshold: 3,
};
/// Number of successes to remember, at about 40 bytes each.
const SUCCESSES: usize = 8_192;
/// Longest delay of a job for the check. A host that lost power does not answer it.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(50);
/// Number of attempts to remember that were given up.
const GIVEN_UP: usize = 256;
/// How long they are remembered: until the next attempt of the request may have crashed.
const GIVEN_UP_EXPIRY: Duration = Duration::from_secs(1);
/// Delay before the check of an upstream whose attempt was given up. It may crash only a while after
/// the connection was closed.
const GIVEN_UP_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Time after the latest news of a request in which VMs report other requests that shared its crashes.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Message of the refusal.
const REASON: &str = "this request has crashed the upstreams that ran it";

/// Creates an empty record of successes.
pub fn no_successes() -> Successes {
    Successes::new(SUCCESSES, OPTIONS.expiry)
}

/// Creates an empty record of attempts that were given up.
pub fn none_given_up() -> GivenUp {
    GivenUp::new(GIVEN_UP, GIVEN_UP_EXPIRY)
}

/// Whether `job` must not run. Releases it if a copy succeeded on this VM lately.
///
/// Waits up to [`SETTLE_TIME`] if the quarantine is new: other VMs may report the crashes as those
/// of another request, which was in flight there as well.
pub async fn is_quarantined<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) -> bool {
    if status(shared, job) != Status::Quarantined {
        return false;
    }
    let now = shared.clock.now();
    let has_succeeded = shared.successes().contains(job.fingerprint().prefix(), now);
    if has_succeeded {
        lift(shared, job, "a copy succeeded on this VM before");
        return false;
    }
    let news = shared.quarantine.time_since_news(&job.fingerprint(), now);
    let unsettled = SETTLE_TIME.saturating_sub(news.unwrap_or_default());
    if unsettled.is_zero() || now + unsettled >= job.deadline {
        return true;
    }
    tokio::time::sleep(unsettled).await;
    let is_quarantined = status(shared, job) == Status::Quarantined;
    log::info!(
        id = job.head.id.as_str(), fingerprint:% = job.fingerprint(), is_quarantined;
        "waited for other evidence about the crashes of the request"
    );
    is_quarantined
}

/// Whether this VM knows of evidence against `job`.
pub fn is_marked<C: Codec>(shared: &Shared<C>, job: &Job) -> bool {
    status(shared, job) != Status::Clear
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

/// Records that the connection to `upstream` was lost while it may have run `job`. Returns what was
/// lost with it, as far as is known in time.
///
/// Waits for the check whether it crashed, up to [`MAX_CHECK_WAIT`]: a job that is sent again, or
/// whose caller returns, before other VMs know of the crash would crash the next upstream.
pub async fn record_lost<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
) -> Loss {
    let id = job.head.id.as_str().to_owned();
    let check = check_lost(shared.clone(), id, job.profile(), upstream.clone());
    // After the timeout, the check goes on in the background. It does not panic.
    let checked = tokio::time::timeout(MAX_CHECK_WAIT, tokio::spawn(check)).await;
    match checked {
        Ok(Ok(loss)) => loss,
        Ok(Err(_)) | Err(_) => Loss::Path,
    }
}

/// Records that this VM gave up an attempt on `upstream` before it ended.
pub fn record_given_up<C: Codec>(
    shared: &Arc<Shared<C>>,
    profile: &Profile,
    upstream: &Arc<directory::Upstream>,
) {
    let now = shared.clock.now();
    let is_clear = || shared.quarantine.status(&profile.request, now) == Status::Clear;
    if shared.quarantine.is_empty() || is_clear() {
        let mut given_up = shared.given_up();
        given_up.record(profile.clone(), upstream.clone(), now);
        return;
    }
    // Attempts are also dropped as the runtime shuts down.
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        let (shared, profile, upstream) = (shared.clone(), profile.clone(), upstream.clone());
        runtime.spawn(async move {
            tokio::time::sleep(GIVEN_UP_CHECK_DELAY).await;
            check_crash(&shared, "", &profile, &upstream).await;
        });
    }
}

/// Checks `upstream`, which closed the connection, and upstreams whose attempts were given up.
async fn check_lost<C: Codec>(
    shared: Arc<Shared<C>>,
    id: String,
    profile: Profile,
    upstream: Arc<directory::Upstream>,
) -> Loss {
    let loss = check_crash(&shared, &id, &profile, &upstream).await;
    if loss != Loss::Upstream {
        return loss;
    }
    let given_up = shared.given_up().take(&profile.request, shared.clock.now());
    for upstream in given_up {
        check_crash(&shared, &id, &profile, &upstream).await;
    }
    loss
}

/// Records a crash if `upstream` is down, and tells other VMs. `id` is empty if the request was given up.
async fn check_crash<C: Codec>(
    shared: &Arc<Shared<C>>,
    id: &str,
    profile: &Profile,
    upstream: &Arc<directory::Upstream>,
) -> Loss {
    let loss = path::find_loss(shared, upstream).await;
    if loss != Loss::Upstream {
        return loss;
    }
    let service = upstream.service.as_str();
    let fingerprint = profile.request;
    log::info!(
        id, upstream = upstream.id.as_str(), service, fingerprint:%, parts = profile.parts_text();
        "upstream crashed under the request"
    );
    shared.metrics.crashes.with_label_values(&[service]).inc();
    let evidence = Evidence::of_process(upstream);
    let now = shared.clock.now();
    let recorded = shared.quarantine.record_crash(fingerprint, evidence, now);
    recorded.await;
    loss
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
