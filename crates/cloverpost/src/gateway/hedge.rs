//! Attempts of a job beside one that is overdue.
//!
//! An overdue attempt is never abandoned for one that may not come about: all that another attempt needs
//! is granted at one moment, and the overdue one is dropped only once the response of another has begun.

use std::sync::Arc;

use cloverpost_core::dispatch::{Dispatch, Failure};
use cloverpost_core::hedge::{Conditions, Denial, Hedge, Step};
use cloverpost_core::{directory, id, time};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::gateway::Shared;
use crate::gateway::attempt::{self, AttemptOptions, UpstreamResponse};
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;
use crate::gateway::overdue::Overdue;
use crate::gateway::stream::Silence;
use crate::gateway::{crashes, rollout_evidence, selection, shutdown, unary};

/// Leave to send a job to one more upstream.
pub struct Grant {
    /// The upstream.
    pub upstream: Arc<directory::Upstream>,
    /// What the overdue attempt would have ended with.
    pub failure: Failure,
}

/// What the next attempt of a job depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan<'a> {
    /// Model to use, if the router selects it.
    pub model: Option<&'a id::Model>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Whether a retry taken from the budget has not led to work on any upstream yet.
    pub has_unspent_retry: bool,
    /// Runs in progress that the attempts do not compete with.
    pub other_runs: u32,
}

impl<'a> Plan<'a> {
    /// Whether the limits of the request permit an attempt beside those of `hedge`.
    fn may_begin<C: Codec>(&self, shared: &Shared<C>, dispatch: &Dispatch, hedge: Hedge) -> bool {
        let in_progress = hedge.in_progress() + self.other_runs;
        dispatch.may_begin(in_progress, shared.clock.now())
    }

    /// Options of the attempt on the last of `tried`, which `hedge` counts already.
    pub fn options<C: Codec>(
        &self,
        shared: &Shared<C>,
        dispatch: &Dispatch,
        hedge: Hedge,
        tried: &[id::Upstream],
    ) -> AttemptOptions<'a> {
        AttemptOptions {
            model: self.model,
            last_event: self.last_event,
            may_retry: self.may_begin(shared, dispatch, hedge),
            attempts_before: tried.len().saturating_sub(1),
        }
    }
}

/// Takes all that another attempt of `job` needs, or nothing.
pub async fn grant<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    dispatch: &Dispatch,
    hedge: Hedge,
    plan: Plan<'_>,
    tried: &[id::Upstream],
) -> Result<Arc<directory::Upstream>, Denial> {
    let is_quarantined = crashes::is_quarantined(shared, job).await;
    // Nothing is awaited from here on, so that what is checked still holds as it is taken.
    let conditions = Conditions {
        is_quarantined,
        is_stopping: !shutdown::admits(shared, &job.route, job.deadline),
        has_body: job.body.is_held(),
        has_attempt: plan.may_begin(shared, dispatch, hedge),
        has_retry: plan.has_unspent_retry || shared.has_retry(&job.service),
    };
    conditions.check()?;
    let upstream = selection::select_upstream(shared, job, plan.model, tried);
    let upstream = upstream.ok_or(Denial::NoUpstream)?;
    if !plan.has_unspent_retry && !shared.try_take_retry(job) {
        return Err(Denial::Budget);
    }
    Ok(upstream)
}

/// Completes with leave for another attempt of `job` while all in progress are overdue.
pub async fn granted<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    dispatch: &Dispatch,
    hedge: Hedge,
    plan: Plan<'_>,
    tried: &[id::Upstream],
    mut watch: Watch<'_, C>,
) -> Grant {
    let mut last_denial = None;
    loop {
        let failure = watch.overdue().await;
        match grant(shared, job, dispatch, hedge, plan, tried).await {
            Ok(upstream) => {
                unary::record_sent_again(shared, job, dispatch, failure.as_str());
                return Grant { upstream, failure };
            }
            Err(denial) => {
                if last_denial.replace(denial) != Some(denial) {
                    record(shared, job, denial.as_str());
                    log::info!(
                        id = job.head.id.as_str(), result = failure.as_str(), why:% = denial,
                        in_progress = hedge.in_progress();
                        "an overdue attempt is kept"
                    );
                }
            }
        }
        tokio::time::sleep(attempt::MIN_POLL_INTERVAL).await;
    }
}

/// Counts what became of an overdue attempt of `job`.
pub fn record<C: Codec>(shared: &Shared<C>, job: &Job, result: &str) {
    let overdue = &shared.metrics.overdue;
    let labels = [job.service.as_str(), result];
    overdue.with_label_values(&labels).inc();
}

/// An attempt that has ended.
pub struct Ended<C: Codec> {
    /// How it ended.
    pub result: Result<UpstreamResponse<C>, Failure>,
    overdue: Overdue,
}

/// Signals of the attempts in progress.
#[derive(Debug, Default)]
pub struct Signals(Vec<Signal>);

/// The signal of one attempt.
#[derive(Debug)]
struct Signal {
    overdue: Overdue,
    upstream: Arc<directory::Upstream>,
    sent: time::Moment,
}

impl Signals {
    /// Adds the signal of a new attempt on `upstream`, which is sent at `sent`.
    pub fn add(&mut self, upstream: &Arc<directory::Upstream>, sent: time::Moment) -> Overdue {
        let overdue = Overdue::default();
        self.0.push(Signal {
            overdue: overdue.clone(),
            upstream: upstream.clone(),
            sent,
        });
        overdue
    }

    /// Removes the signal of an attempt that has ended.
    pub fn remove<C: Codec>(&mut self, ended: &Ended<C>) {
        self.0.retain(|signal| !signal.overdue.is(&ended.overdue));
    }

    /// Completes while all attempts are overdue; returns what the newest would end with.
    pub async fn all_overdue(&self) -> Failure {
        let mut newest = Failure::TimedOut;
        for signal in &self.0 {
            newest = signal.overdue.wait().await;
        }
        newest
    }

    /// Records that the attempts are discarded. One that was overdue is evidence against its version.
    pub fn discard<C: Codec>(self, shared: &Arc<Shared<C>>, job: &Job, dispatch: &mut Dispatch) {
        for signal in self.0 {
            dispatch.record_discarded();
            record(shared, job, "discarded");
            if signal.overdue.get() == Some(Failure::TimedOut) {
                rollout_evidence::record_timeout(shared, job, &signal.upstream, signal.sent);
            }
        }
    }
}

/// What is in progress for a job: the run in use, if any, and attempts.
pub struct Watch<'a, C: Codec> {
    /// Silence of the upstream that runs the job.
    pub run: Option<Silence<'a, C>>,
    /// Signals of the attempts.
    pub attempts: &'a Signals,
}

impl<C: Codec> Watch<'_, C> {
    /// Completes while all of it is overdue; returns what the run, or the newest attempt, would end with.
    async fn overdue(&mut self) -> Failure {
        let newest = self.attempts.all_overdue().await;
        match &mut self.run {
            Some(silence) => silence.wait().await,
            None => newest,
        }
    }
}

/// Completes at the deadline of `job`.
pub async fn expired<C: Codec>(shared: &Shared<C>, job: &Job) {
    tokio::time::sleep(job.deadline.since(shared.clock.now())).await;
}

/// Sends `job` to `upstream`. `overdue` tells while the response is.
pub async fn begin<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: Arc<directory::Upstream>,
    options: AttemptOptions<'_>,
    overdue: Overdue,
) -> Ended<C> {
    let result = attempt::send(shared, job, &upstream, options, &overdue).await;
    Ended { result, overdue }
}

/// Sends `job` to `upstream`, the last of `tried`, and to others while the response is overdue. Returns
/// the first response that is no failure, or else the last one, or the last failure.
pub async fn send<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    dispatch: &mut Dispatch,
    tried: &mut Vec<id::Upstream>,
    mut plan: Plan<'_>,
    upstream: Arc<directory::Upstream>,
) -> Result<UpstreamResponse<C>, Failure> {
    let mut hedge = Hedge::default();
    let mut attempts = FuturesUnordered::new();
    let mut signals = Signals::default();
    let mut failed = None;
    let mut next = Some(upstream);
    loop {
        if let Some(upstream) = next.take() {
            hedge.begin();
            let options = plan.options(shared, dispatch, hedge, tried);
            let overdue = signals.add(&upstream, shared.clock.now());
            attempts.push(begin(shared, job, upstream, options, overdue));
        }
        let watch = Watch {
            run: None,
            attempts: &signals,
        };
        let ended = tokio::select! {
            Some(ended) = attempts.next() => ended,
            grant = granted(shared, job, dispatch, hedge, plan, tried, watch) => {
                plan.has_unspent_retry = false;
                tried.push(grant.upstream.id.clone());
                next = Some(grant.upstream);
                continue;
            }
        };
        signals.remove(&ended);
        let failure = match ended.result {
            Ok(response) if !response.is_failure => {
                signals.discard(shared, job, dispatch);
                return Ok(response);
            }
            Ok(response) => {
                failed = Some(response);
                Failure::Failed
            }
            Err(failure) => failure,
        };
        if hedge.attempt_failed() == Step::Retry {
            return failed.ok_or(failure);
        }
        record(shared, job, "failed");
        plan.has_unspent_retry |= failure.is_exempt_from_budget();
        dispatch.record_last_failure(failure);
    }
}
