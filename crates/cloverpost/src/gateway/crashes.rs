//! Requests that crash the upstreams that run them.
//!
//! An attempt that loses its connection to an upstream that no VM reaches then is evidence against
//! the features of its request: its upstream crashed under it. So does one of many requests that were
//! in flight as an upstream crashed for another reason. Requests with a feature that crashed several
//! upstreams and succeeded on none are refused, on all VMs, until the quarantine is over.
//!
//! A part of prompts with which a request succeeded on this VM lately is no suspect. What another VM
//! does not know of is dismissed once it is told.
//!
//! An attempt that this VM gave up, as for a larger model, may crash its upstream a moment later. It
//! is checked if there is or comes other evidence against its request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::dispatch::{Dispatch, Failure};
use cloverpost_core::poison::{
    Evidence, Fact, Feature, GivenUp, Options, Part, Profile, Status, Successes,
};
use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_core::{directory, time};

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
    part_threshold: 4,
};
/// Number of successes to remember, at about 40 bytes each.
const SUCCESSES: usize = 8_192;
/// How long a part counts as sound after a success. Parts that many requests share succeed each
/// second; one that turns bad must not stay unsuspected for long.
const SOUND_PART_EXPIRY: Duration = Duration::from_secs(10);
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
/// The same for a part, which many requests may have. Any VM may know of a success with it.
const PART_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Message of the refusal of a request that is quarantined itself.
const REASON: &str = "this request has crashed the upstreams that ran it";
/// Message of the refusal of a request that has a quarantined part.
const PART_REASON: &str =
    "requests with a part of this prompt have crashed the upstreams that ran them";

/// Creates an empty record of successes.
pub fn no_successes() -> Successes {
    Successes::new(SUCCESSES, OPTIONS.expiry)
}

/// Creates an empty record of parts with which requests succeeded.
pub fn no_sound_parts() -> Successes {
    Successes::new(SUCCESSES, SOUND_PART_EXPIRY)
}

/// Creates an empty record of attempts that were given up.
pub fn none_given_up() -> GivenUp {
    GivenUp::new(GIVEN_UP, GIVEN_UP_EXPIRY)
}

/// Whether `job` must not run. Releases it if a copy, or a request with the same part, succeeded on
/// this VM lately.
///
/// Waits for a moment if the quarantine is new: other VMs may report the crashes as those of another
/// feature, which was in flight there as well.
pub async fn is_quarantined<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) -> bool {
    let Some(feature) = quarantined_feature(shared, job) else {
        return false;
    };
    let now = shared.clock.now();
    if has_succeeded(shared, &feature, now) {
        let why = "a request with the feature succeeded on this VM before";
        lift(shared, &job.head.id, vec![feature], why);
        return false;
    }
    let news = shared.quarantine.time_since_news(&feature, now);
    let settle_time = match feature {
        Feature::Request(_) => SETTLE_TIME,
        Feature::Part(_) => PART_SETTLE_TIME,
    };
    let unsettled = settle_time.saturating_sub(news.unwrap_or_default());
    if unsettled.is_zero() || now + unsettled >= job.deadline {
        return true;
    }
    tokio::time::sleep(unsettled).await;
    let is_quarantined = quarantined_feature(shared, job).is_some();
    log::info!(
        id = job.head.id.as_str(), feature:%, is_quarantined;
        "waited for other evidence about the crashes of the request"
    );
    is_quarantined
}

/// The quarantined feature of `job`.
fn quarantined_feature<C: Codec>(shared: &Shared<C>, job: &Job) -> Option<Feature> {
    let (feature, status) = worst(shared, job)?;
    (status == Status::Quarantined).then_some(feature)
}

fn has_succeeded<C: Codec>(shared: &Shared<C>, feature: &Feature, now: time::Moment) -> bool {
    match feature {
        Feature::Request(fingerprint) => shared.successes().contains(fingerprint.prefix(), now),
        Feature::Part(part) => shared.sound_parts().contains(part.hash(), now),
    }
}

/// Whether `feature` is a part with which a request succeeded on this VM lately.
pub fn is_sound<C: Codec>(shared: &Shared<C>, feature: &Feature) -> bool {
    let now = shared.clock.now();
    matches!(feature, Feature::Part(_)) && has_succeeded(shared, feature, now)
}

/// Dismisses the evidence against sound parts for which other VMs gave `facts`, if these are enough
/// for a quarantine.
pub fn dismiss_wrong<C: Codec>(shared: &Arc<Shared<C>>, facts: Vec<Fact>) {
    let mut upstreams = BTreeMap::<Feature, BTreeSet<_>>::new();
    let mut marks = Vec::new();
    for fact in facts {
        if let Fact::Mark(mark) = fact {
            let of_feature = upstreams.entry(mark.feature).or_default();
            of_feature.insert(mark.evidence.upstream.clone());
            marks.push(mark);
        }
    }
    upstreams.retain(|_, upstreams| upstreams.len() >= OPTIONS.part_threshold);
    if upstreams.is_empty() {
        return;
    }
    marks.retain(|mark| upstreams.contains_key(&mark.feature));
    let facts = marks.into_iter().map(Fact::Mark).collect();
    // They are dismissed at once.
    let _ = shared.quarantine.merge(facts, shared.clock.now());
    let why = "requests with the feature succeed on this VM";
    lift(shared, "", upstreams.into_keys().collect(), why);
}

/// The refusal of a quarantined job that has not run.
pub fn refusal<C: Codec>(shared: &Shared<C>, job: &Job) -> Refusal {
    let now = shared.clock.now();
    let feature = quarantined_feature(shared, job);
    let feature = feature.unwrap_or_else(|| job.fingerprint().into());
    log::info!(id = job.head.id.as_str(), feature:%; "quarantined request rejected");
    Refusal {
        opens_after: shared.quarantine.remaining(&feature, now),
        ..Refusal::not_run(Code::Quarantined, reason(&feature))
    }
}

const fn reason(feature: &Feature) -> &'static str {
    match feature {
        Feature::Request(_) => REASON,
        Feature::Part(_) => PART_REASON,
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
    let is_clear = || shared.quarantine.worst(profile, now).1 == Status::Clear;
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
    let now = shared.clock.now();
    let evidence = evidence(shared, profile, upstream, now);
    shared.quarantine.record_crash(evidence, now).await;
    loss
}

/// Evidence of a crash of `upstream` against the request of `profile`, and against its parts that are
/// not known to be sound.
fn evidence<C: Codec>(
    shared: &Shared<C>,
    profile: &Profile,
    upstream: &directory::Upstream,
    now: time::Moment,
) -> Vec<(Feature, Evidence)> {
    let sound_parts = shared.sound_parts();
    let parts = profile.parts.iter();
    let parts = parts.filter(|part| !sound_parts.contains(part.hash(), now));
    let of_part = |part: &Part| {
        let evidence = Evidence::of_request(upstream, &profile.request);
        (Feature::Part(*part), evidence)
    };
    let of_request = (profile.request.into(), Evidence::of_process(upstream));
    std::iter::once(of_request)
        .chain(parts.map(of_part))
        .collect()
}

/// Records that `job` succeeded, and dismisses evidence against its features.
pub fn record_success<C: Codec>(shared: &Arc<Shared<C>>, job: &Job) {
    let now = shared.clock.now();
    shared.successes().record(job.fingerprint().prefix(), now);
    let profile = job.profile();
    let mut sound_parts = shared.sound_parts();
    for part in profile.parts.iter() {
        sound_parts.record(part.hash(), now);
    }
    drop(sound_parts);
    if shared.quarantine.is_empty() {
        return;
    }
    let is_marked = |feature: &Feature| shared.quarantine.status(feature, now) != Status::Clear;
    let marked: Vec<_> = profile.features().filter(is_marked).collect();
    if !marked.is_empty() {
        lift(shared, &job.head.id, marked, "it succeeded");
    }
}

/// Dismisses the evidence against `features`. `id` is that of the request that shows them to be sound.
fn lift<C: Codec>(shared: &Arc<Shared<C>>, id: &str, features: Vec<Feature>, why: &str) {
    for feature in &features {
        log::info!(id, feature:%, why; "evidence against the request is dismissed");
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let now = shared.clock.now();
        shared.quarantine.lift(features, now).await;
    });
}

/// The feature of `job` with the most serious status. The body is hashed only if there is evidence
/// against any request.
fn worst<C: Codec>(shared: &Shared<C>, job: &Job) -> Option<(Feature, Status)> {
    if shared.quarantine.is_empty() {
        return None;
    }
    let now = shared.clock.now();
    Some(shared.quarantine.worst(&job.profile(), now))
}
