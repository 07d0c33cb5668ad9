//! Records responses as evidence for or against a version that is being rolled out.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::{directory, exposure, id};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::evidence::TimingKey;
use crate::gateway::job::Job;
use crate::gateway::path;
use crate::gateway::selection;

/// Outcome of waiting for the response head of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadOutcome {
    /// A response head was received.
    Received,
    /// The upstream failed or did not respond.
    Failed,
    /// The request did not run, which is no evidence about the version.
    NotRun,
}

/// Records the outcome of an attempt, `took` after it was sent.
pub fn record_head<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    model: Option<&id::Model>,
    took: Duration,
    head: HeadOutcome,
) {
    let span = exposure::Span::Head;
    let is_good = match head {
        HeadOutcome::Received => !is_slow(shared, job, upstream, model, span, took),
        HeadOutcome::Failed => false,
        HeadOutcome::NotRun => return,
    };
    count(shared, job, upstream, span, is_good);
}

/// Records an attempt that timed out, unless this VM has lost its path to `upstream`.
pub fn record_timeout<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    upstream: &Arc<directory::Upstream>,
) {
    let Some(key) = selection::evidence_key(shared, job, upstream, exposure::Span::Head) else {
        return;
    };
    let (shared, upstream) = (shared.clone(), upstream.clone());
    tokio::spawn(async move {
        if path::is_sound(&shared, &upstream).await {
            shared.evidence().count(&key, false);
        }
    });
}

/// Records a stream with a mean interval of `pace` between events.
pub fn record_pace<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    model: Option<&id::Model>,
    pace: Duration,
) {
    let span = exposure::Span::Events;
    let is_slow = is_slow(shared, job, upstream, model, span, pace);
    count(shared, job, upstream, span, !is_slow);
}

/// Records a stream that was cut off.
pub fn record_cut<C: Codec>(shared: &Shared<C>, job: &Job, upstream: &directory::Upstream) {
    count(shared, job, upstream, exposure::Span::Events, false);
}

fn is_slow<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    model: Option<&id::Model>,
    span: exposure::Span,
    took: Duration,
) -> bool {
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
    shared.evidence().is_slow(key, took, is_old)
}

fn count<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    upstream: &directory::Upstream,
    span: exposure::Span,
    is_good: bool,
) {
    if let Some(key) = selection::evidence_key(shared, job, upstream, span) {
        shared.evidence().count(&key, is_good);
    }
}
