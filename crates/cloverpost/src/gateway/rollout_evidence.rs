//! Records responses as evidence for or against a version that is being rolled out.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::exposure::Outcome;
use cloverpost_core::{directory, exposure, id, time};

use crate::gateway::Shared;
use crate::gateway::attempt::AttemptOptions;
use crate::gateway::codec::Codec;
use crate::gateway::evidence::{Latency, TimingKey};
use crate::gateway::job::Job;
use crate::gateway::path;
use crate::gateway::selection;

/// Outcome of waiting for the response head of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadOutcome {
    /// A response head was received.
    Received,
    /// The upstream responded with a failure.
    Failed,
    /// The connection was lost before the response head. The upstream may have closed it for lack of
    /// connection capacity.
    Lost,
    /// The request did not run, which is no evidence about the version.
    NotRun,
}

/// Records the outcome of an attempt that began at `sent` and took `took`.
///
/// A slow response or a lost connection is no evidence if the path was broken meanwhile.
pub fn record_head<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    options: AttemptOptions<'_>,
    sent: time::Moment,
    took: Duration,
    head: HeadOutcome,
) {
    let span = exposure::Span::Head;
    let outcome = match head {
        HeadOutcome::Received => {
            let latency = compare_latency(shared, job, upstream, options.model, span, took);
            count_latency(
                shared,
                job,
                upstream,
                span,
                latency,
                sent,
                options.is_first(),
            );
            return;
        }
        HeadOutcome::Failed => Outcome::Failed,
        HeadOutcome::Lost => Outcome::Unanswered,
        HeadOutcome::NotRun => return,
    };
    if outcome == Outcome::Failed || !shared.paths().was_broken(&upstream.id, sent) {
        count(shared, job, upstream, span, outcome, options.is_first());
    }
}

/// Records an attempt that began at `sent` and timed out, unless this VM has lost its path to `upstream`.
pub fn record_timeout<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
    sent: time::Moment,
) {
    let Some(key) = selection::evidence_key(shared, job, upstream, exposure::Span::Head) else {
        return;
    };
    let (shared, upstream) = (shared.clone(), upstream.clone());
    tokio::spawn(async move {
        let is_sound = path::is_sound(&shared, &upstream).await;
        if is_sound && !shared.paths().was_broken(&upstream.id, sent) {
            record(&shared, &key, Outcome::Unanswered, true);
        }
    });
}

/// Records a stream that began at `began`, with a mean interval of `pace` between events.
pub fn record_pace<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    model: Option<&id::Model>,
    began: time::Moment,
    pace: Duration,
    is_first_attempt: bool,
) {
    let span = exposure::Span::Events;
    let latency = compare_latency(shared, job, upstream, model, span, pace);
    count_latency(
        shared,
        job,
        upstream,
        span,
        latency,
        began,
        is_first_attempt,
    );
}

/// Records a stream that began at `began` and was cut off.
///
/// A crash cuts all streams of an upstream at once, and so does a host that fails. They are not
/// independent failures of the version, so the comparison of failures does not count them.
pub fn record_cut<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    began: time::Moment,
    is_crash: bool,
    is_first_attempt: bool,
) {
    let outcome = if is_crash {
        Outcome::Unanswered
    } else {
        Outcome::Failed
    };
    if !shared.paths().was_broken(&upstream.id, began) {
        let span = exposure::Span::Events;
        count(shared, job, upstream, span, outcome, is_first_attempt);
    }
}

fn compare_latency<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    model: Option<&id::Model>,
    span: exposure::Span,
    took: Duration,
) -> Latency {
    let size = match span {
        exposure::Span::Head => job.head.prompt_tokens().checked_ilog2().unwrap_or(0),
        // The interval between events hardly depends on the prompt length.
        exposure::Span::Events => 0,
    };
    let key = TimingKey {
        span,
        route: job.route.name.clone(),
        model: model.cloned(),
        size,
    };
    let is_old = !selection::runs_new_version(shared, job, upstream);
    shared.evidence().compare_latency(key, took, is_old)
}

/// Counts a response that began at `began`. A slow one is no evidence if the path was broken
/// meanwhile.
fn count_latency<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    span: exposure::Span,
    latency: Latency,
    began: time::Moment,
    is_first_attempt: bool,
) {
    if latency.is_slow && shared.paths().was_broken(&upstream.id, began) {
        return;
    }
    let Some(key) = selection::evidence_key(shared, job, upstream, span) else {
        return;
    };
    let outcome = if latency.is_slow {
        Outcome::Slow
    } else {
        Outcome::Good
    };
    record(shared, &key, outcome, is_first_attempt);
    shared.evidence().count_pace(&key, latency);
}

fn count<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    span: exposure::Span,
    outcome: Outcome,
    is_first_attempt: bool,
) {
    if let Some(key) = selection::evidence_key(shared, job, upstream, span) {
        record(shared, &key, outcome, is_first_attempt);
    }
}

/// Counts an outcome as evidence and in the metrics.
fn record<C: Codec>(
    shared: &Shared<C>,
    key: &exposure::Key,
    outcome: Outcome,
    is_first_attempt: bool,
) {
    shared.evidence().count(key, outcome, is_first_attempt);
    let responses = &shared.metrics.rollout_responses;
    responses.count(&key.service, key.side, outcome, is_first_attempt);
}
