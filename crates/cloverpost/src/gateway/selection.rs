//! Selection of the upstream for an attempt, including the version during a rollout.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::balance::Criteria;
use cloverpost_core::directory::{Allowed, Pool, Rollout, Upstream};
use cloverpost_core::dispatch::Dispatch;
use cloverpost_core::pushback::Block;
use cloverpost_core::refusal::Refusal;
use cloverpost_core::{admission, exposure, id, throttle, time};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;
use crate::gateway::response;

/// Versions that a job may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum VersionFilter {
    Any,
    Only(id::Version),
    Except(id::Version),
}

impl VersionFilter {
    fn matches(&self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => upstream.version == *version,
            Self::Except(version) => upstream.version != *version,
        }
    }
}

/// Selects the upstream for the next attempt of `job` with `model`.
pub fn select_upstream<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    model: Option<&id::Model>,
    tried: &[id::Upstream],
) -> Option<Arc<Upstream>> {
    let view = shared.view.load();
    let pool = view.pools.get(&job.service)?;
    let now = shared.clock.now();
    let mut admission = shared.admission();
    admission.prepare(&job.service, pool, &shared.balancer(), now);
    let filter = version_filter(shared, job, pool, &admission);
    let candidates = candidates(shared, job, pool, &filter, &admission);
    let settings = shared.settings.load();
    let speed = shared.speed();
    let criteria = Criteria {
        zone: &settings.zone,
        affinity: job.head.affinity(model),
        work: speed.prefill_seconds(model, job.head.prompt_tokens()),
        shared: speed.prefill_seconds(model, job.head.shared_tokens()),
        tried,
        draw: rand::random(),
    };
    drop(speed);
    let chosen = {
        let balancer = shared.balancer();
        let mut gate = admission.gate(&job.service, &balancer, now);
        let mut untried = candidates.iter().filter(|one| !tried.contains(&one.id));
        if !untried.any(|one| gate.has_place(one)) {
            gate = gate.with_excess(&job.service, pool);
        }
        // One without a connection for this VM is chosen only if no other is usable.
        let is_ready = |one: &Upstream| {
            balancer.is_available(&one.id, now) && shared.pool.has_connection(&one.id)
        };
        let ready = candidates.iter().copied().filter(|one| is_ready(one));
        let ready: Vec<_> = ready.filter(|one| gate.admits(one)).collect();
        let chosen = gate.choose(&ready, &criteria);
        let chosen = chosen.or_else(|| gate.choose(&candidates, &criteria));
        chosen.cloned()
    }?;
    admission.record_send(&chosen, now);
    drop(admission);
    if let Some(session) = job.head.session {
        // Recorded outside rollouts too: a session that started before a rollout keeps
        // its version until all requests go to the new one.
        shared.sessions().record(session, &chosen.version, now);
    }
    Some(chosen)
}

/// The upstreams of `pool` that `filter` and the load test of a rollout leave.
fn candidates<'a, C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &'a Pool,
    filter: &VersionFilter,
    admission: &admission::Register,
) -> Vec<&'a Arc<Upstream>> {
    let load_test_upstreams = load_test_upstreams(shared, job, pool, filter, admission);
    let is_in_load_test = |upstream: &Upstream| {
        load_test_upstreams
            .as_ref()
            .is_none_or(|ids| ids.contains(&upstream.id))
    };
    let upstreams = pool.upstreams.iter();
    upstreams
        .filter(|upstream| filter.matches(upstream) && is_in_load_test(upstream))
        .collect()
}

/// Whether another upstream than `upstream` takes `job` now and has a connection for it.
pub fn has_other_upstream<C: Codec>(shared: &Shared<C>, job: &Job, upstream: &Upstream) -> bool {
    let view = shared.view.load();
    let Some(pool) = view.pools.get(&job.service) else {
        return false;
    };
    let now = shared.clock.now();
    let admission = shared.admission();
    let filter = version_filter(shared, job, pool, &admission);
    let balancer = shared.balancer();
    let gate = admission.gate(&job.service, &balancer, now);
    let others = pool.upstreams.iter().filter(|one| one.id != upstream.id);
    let mut usable = others.filter(|one| filter.matches(one) && gate.admits(one));
    usable.any(|one| balancer.is_available(&one.id, now) && shared.pool.has_connection(&one.id))
}

/// The load test uses one in this many upstreams of the new version.
const LOAD_TEST_DIVISOR: usize = 2;

/// Upstreams that get all requests of the new version in the last stage of a rollout, or
/// `None` for all of them.
///
/// Half of the upstreams get twice the load, which exposes a version that fails only under
/// load. Requests with a prompt are exempt: prompt processing slows down under load, so a
/// good version would be rated slow.
fn load_test_upstreams<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &Pool,
    filter: &VersionFilter,
    admission: &admission::Register,
) -> Option<Vec<id::Upstream>> {
    let Allowed::Rollout(rollout) = &pool.allowed else {
        return None;
    };
    let is_new = matches!(filter, VersionFilter::Only(_));
    let has_prompt = job.head.prompt_tokens() > 0;
    if !is_new || has_prompt {
        return None;
    }
    let stage = shared.stage(rollout);
    if !stage.is_full_traffic(&tally(shared, job, pool, rollout)) {
        return None;
    }
    let now = shared.clock.now();
    let asks_for_none = |one: &Upstream| admission.pushback.block(&one.id, now).is_some();
    let upstreams = pool.upstreams.iter();
    let upstreams = upstreams.filter(|one| filter.matches(one) && !asks_for_none(one));
    let mut ids: Vec<_> = upstreams.map(|upstream| upstream.id.clone()).collect();
    ids.sort_unstable();
    ids.truncate(ids.len().div_ceil(LOAD_TEST_DIVISOR));
    Some(ids)
}

/// Key under which a response of `upstream` counts as evidence; `None` without a rollout.
pub fn evidence_key<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &Upstream,
    span: exposure::Span,
) -> Option<exposure::Key> {
    let view = shared.view.load();
    let pool = view.pools.get(&job.service)?;
    let Allowed::Rollout(rollout) = &pool.allowed else {
        return None;
    };
    let tally = || tally(shared, job, pool, rollout);
    let side = if upstream.version != rollout.target {
        exposure::Side::Old
    } else if shared.stage(rollout).is_full_traffic(&tally()) {
        exposure::Side::Whole
    } else {
        exposure::Side::Trial
    };
    Some(exposure::Key {
        service: job.service.clone(),
        order: rollout.order,
        route: job.route.name.clone(),
        span,
        side,
    })
}

/// Whether `upstream` runs the target version of a rollout.
pub fn runs_new_version<C: Codec>(shared: &Shared<C>, job: &Job, upstream: &Upstream) -> bool {
    let view = shared.view.load();
    let allowed = view.pools.get(&job.service).map(|pool| &pool.allowed);
    matches!(allowed, Some(Allowed::Rollout(rollout)) if upstream.version == rollout.target)
}

/// Counts an attempt of `job` on `upstream` in the tally of a rollout.
pub fn count_send<C: Codec>(shared: &Shared<C>, job: &Job, upstream: &Upstream) {
    let view = shared.view.load();
    let allowed = view.pools.get(&job.service).map(|pool| &pool.allowed);
    if let Some(Allowed::Rollout(rollout)) = allowed {
        let key = (job.service.clone(), rollout.order);
        let is_new = upstream.version == rollout.target;
        shared.tallies().count(&key, is_new);
    }
}

/// Attempts that this VM has made since `rollout` started.
fn tally<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &Pool,
    rollout: &Rollout,
) -> exposure::Tally {
    let upstreams = pool.upstreams.iter();
    let old = upstreams.filter(|upstream| upstream.version != rollout.target);
    let (open_old, _) = shared.balancer().occupancy(old);
    let key = (job.service.clone(), rollout.order);
    shared.tallies().tally(&key, open_old)
}

/// The refusal of `job` when no upstream can be selected. If all upstreams rest, are cold or at the
/// limits that they state, it tells the caller when to return.
pub fn no_upstream_refusal<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    dispatch: &Dispatch,
) -> Refusal {
    let wait = time_until_open(shared, job).filter(|wait| !wait.is_zero());
    let left = job.deadline.since(shared.clock.now());
    let wait = wait.map(|wait| spread_return(wait, left, rand::random()));
    Refusal {
        opens_after: wait.or_else(|| time_until_return(shared, job)),
        ..dispatch.no_upstream()
    }
}

/// Time until the first upstream that may serve `job` is neither resting nor cold; `None` if there is
/// no upstream that does not leave.
fn time_until_open<C: Codec>(shared: &Shared<C>, job: &Job) -> Option<Duration> {
    let view = shared.view.load();
    let pool = view.pools.get(&job.service)?;
    let now = shared.clock.now();
    let admission = shared.admission();
    let filter = version_filter(shared, job, pool, &admission);
    let upstreams = pool.upstreams.iter().filter(|one| filter.matches(one));
    let open = upstreams.filter_map(|one| {
        let wait = admission.time_until_open(&one.id, now)?;
        Some((wait, &one.id))
    });
    let (wait, upstream) = open.min_by_key(|(wait, _)| *wait)?;
    if admission.pushback.block(upstream, now) == Some(Block::Resting) {
        let age = admission.pushback.age(upstream, now).unwrap_or_default();
        log::info!(
            id = job.head.id.as_str(), service = job.service.as_str(), upstream = upstream.as_str(),
            age_ms = response::millis(age), opens_ms = response::millis(wait);
            "all upstreams rest; this one is the first to be open again"
        );
    }
    Some(wait)
}

/// Longest time over which the returns of rejected callers are spread.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Part of their time left up to which callers wait before they return.
const MAX_RETURN_DIVISOR: u32 = 3;

/// Extends `wait` by a part that `draw`, from 0 to 1, selects, so that callers do not return in one
/// moment. A caller with `left` time is told no more than it waits for, if that is true.
fn spread_return(wait: Duration, left: Duration, draw: f64) -> Duration {
    let latest = (left / MAX_RETURN_DIVISOR).saturating_sub(response::RETRY_AFTER_MAX);
    let spread = latest.saturating_sub(wait).min(MAX_RETURN_SPREAD);
    wait + spread.mul_f64(draw)
}

/// When the caller of `job` may return; `None` if no upstream of its service states a limit.
fn time_until_return<C: Codec>(shared: &Shared<C>, job: &Job) -> Option<Duration> {
    let now = shared.clock.now();
    if let Some(rate) = stated_rate(shared, &job.service) {
        let vms = usize::try_from(shared.fleet().vms()).unwrap_or(usize::MAX);
        return Some(shared.returns().assign(&job.service, rate, vms, now));
    }
    let rate = place_rate(shared, &job.service)?;
    let unplaced = &shared.metrics.fragile.unplaced;
    unplaced.with_label_values(&[job.service.as_str()]).inc();
    log::info!(
        id = job.head.id.as_str(), service = job.service.as_str(), rate:%;
        "no place on a fragile upstream"
    );
    Some(shared.returns().assign(&job.service, rate, 1, now))
}

/// Requests a second that this VM may send to the upstreams of `service`; `None` if they are not
/// fragile.
fn place_rate<C: Codec>(shared: &Shared<C>, service: &id::Pool) -> Option<throttle::Rate> {
    let view = shared.view.load();
    let upstreams = view.pools.get(service).into_iter();
    let upstreams = upstreams.flat_map(|pool| &pool.upstreams);
    shared.admission().fragile.rate(service, upstreams)
}

/// The sum of the rate limits that upstreams of `service` state; `None` if none does.
pub fn stated_rate<C: Codec>(shared: &Shared<C>, service: &id::Pool) -> Option<throttle::Rate> {
    let view = shared.view.load();
    let now = shared.clock.now();
    let admission = shared.admission();
    let throttle = &admission.throttle;
    let upstreams = view.pools.get(service).into_iter();
    let upstreams = upstreams.flat_map(|pool| &pool.upstreams);
    let rates = upstreams.filter_map(|upstream| throttle.rate(&upstream.id, now));
    let sum = rates
        .map(throttle::Rate::per_second)
        .reduce(|sum, rate| sum + rate)?;
    throttle::Rate::try_from(sum).ok()
}

/// Number of upstreams of `service` that are cold or suspected to be.
pub fn count_cold_upstreams<C: Codec>(shared: &Shared<C>, service: &id::Pool) -> usize {
    let view = shared.view.load();
    let now = shared.clock.now();
    let admission = shared.admission();
    let cold = &admission.cold;
    let upstreams = view.pools.get(service).into_iter();
    let upstreams = upstreams.flat_map(|pool| &pool.upstreams);
    upstreams
        .filter(|upstream| cold.is_cold(&upstream.id, now))
        .count()
}

/// Number of upstreams of `service` that get no requests for `block`.
pub fn count_blocked<C: Codec>(shared: &Shared<C>, service: &id::Pool, block: Block) -> usize {
    let view = shared.view.load();
    let now = shared.clock.now();
    let admission = shared.admission();
    let pushback = &admission.pushback;
    let upstreams = view.pools.get(service).into_iter();
    let upstreams = upstreams.flat_map(|pool| &pool.upstreams);
    upstreams
        .filter(|upstream| pushback.block(&upstream.id, now) == Some(block))
        .count()
}

/// Occupied slots and total slots on the upstreams of `service`.
pub fn occupancy<C: Codec>(shared: &Shared<C>, service: &id::Pool) -> (u32, u32) {
    let view = shared.view.load();
    let upstreams = view.pools.get(service).into_iter();
    let upstreams = upstreams.flat_map(|pool| &pool.upstreams);
    shared.balancer().occupancy(upstreams)
}

fn version_filter<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &Pool,
    admission: &admission::Register,
) -> VersionFilter {
    match &pool.allowed {
        Allowed::Any => VersionFilter::Any,
        Allowed::Only(version) => VersionFilter::Only(version.clone()),
        Allowed::Except(version) => VersionFilter::Except(version.clone()),
        Allowed::Rollout(rollout) => rollout_filter(shared, job, pool, rollout, admission),
    }
}

/// Version filter during a rollout: the version that the session runs on, else one chosen
/// by a hash that is equal on every VM.
fn rollout_filter<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &Pool,
    rollout: &Rollout,
    admission: &admission::Register,
) -> VersionFilter {
    pin_session(shared, job, rollout);
    let now = shared.clock.now();
    let has = |filter: &VersionFilter| {
        pool.upstreams
            .iter()
            .any(|upstream| filter.matches(upstream))
    };
    // All upstreams of a new version start cold, and those of one that is withdrawn leave. While none
    // admits this request, the old version serves it.
    let admits = |filter: &VersionFilter| {
        let mut upstreams = pool
            .upstreams
            .iter()
            .filter(|upstream| filter.matches(upstream));
        upstreams.any(|one| {
            admission.cold.admits(&one.id, now) && !admission.pushback.is_leaving(&one.id)
        })
    };
    let new = VersionFilter::Only(rollout.target.clone());
    let base = rollout.base.clone().map(VersionFilter::Only).filter(has);
    let old = base.unwrap_or_else(|| VersionFilter::Except(rollout.target.clone()));
    let is_regressed = shared.evidence().is_regressed(&job.service, rollout.order);
    if is_regressed || !has(&new) || !admits(&new) && has(&old) {
        return old;
    }
    if !has(&old) {
        return new;
    }
    let mut candidates = pool
        .upstreams
        .iter()
        .filter(|upstream| new.matches(upstream));
    // While the new version's upstreams rest or are at the rates that they state, only the sessions
    // that run on it have to wait for them.
    let takes_more = candidates.any(|upstream| admission.is_open(&upstream.id, now));
    let uses_new = uses_new_version(shared, job, pool, rollout);
    if uses_new && (takes_more || runs_on(shared, job, &rollout.target, now)) {
        new
    } else {
        old
    }
}

/// Whether the session of `job` runs on `version`.
fn runs_on<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    version: &id::Version,
    now: time::Moment,
) -> bool {
    let gap = shared.settings.load().session_gap;
    job.head.session.is_some_and(|session| {
        let sessions = shared.sessions();
        sessions.version(session, now, gap) == Some(version)
    })
}

/// Pins a session that hashes to the new version to the old one while the stage pins sessions.
///
/// A VM without a usable upstream of the new version pins too: the session's next request may
/// reach a VM that has one, which would change the session's version midway.
fn pin_session<C: Codec>(shared: &Shared<C>, job: &Job, rollout: &Rollout) {
    let stage = shared.stage(rollout);
    if let Some(session) = job.head.session
        && stage.is_pinning
        && hash_fraction(job, rollout) < stage.first_share
    {
        let key = (job.service.clone(), rollout.order);
        shared.pins().pin(&key, session);
    }
}

fn uses_new_version<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    pool: &Pool,
    rollout: &Rollout,
) -> bool {
    let stage = shared.stage(rollout);
    let share = stage.share(&tally(shared, job, pool, rollout));
    let hash_fraction = hash_fraction(job, rollout);
    let is_pinned = share < 1.0;
    let is_selected = hash_fraction < share;
    let Some(session) = job.head.session.filter(|_| is_pinned) else {
        return is_selected;
    };
    if stage.moves_sessions() && is_selected {
        return true;
    }
    let key = (job.service.clone(), rollout.order);
    let gap = shared.settings.load().session_gap;
    let now = shared.clock.now();
    match shared.sessions().version(session, now, gap) {
        Some(version) => *version == rollout.target,
        None => is_selected && !shared.pins().is_pinned(&key, session),
    }
}

/// Hash of the job's session, or of its id if it has no session, as a fraction between 0 and 1,
/// equal on every VM.
fn hash_fraction(job: &Job, rollout: &Rollout) -> f64 {
    let mut hasher = DefaultHasher::new();
    match job.head.session {
        Some(session) => session.hash(&mut hasher),
        None => job.head.id.hash(&mut hasher),
    }
    rollout.started_ms.hash(&mut hasher);
    let bits = u32::try_from(hasher.finish() >> 32).unwrap_or_default();
    f64::from(bits) / f64::from(u32::MAX)
}
