//! The start of a stream: which model answers.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::dispatch::{Dispatch, Failure, Next};
use cloverpost_core::id;
use cloverpost_core::refusal::Refusal;

use crate::gateway::Shared;
use crate::gateway::answer::Whole;
use crate::gateway::attempt::{self, Begun, Terms};
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;
use crate::gateway::stream::Relay;
use crate::gateway::{pick, plain};

/// Opinion of its own answer, 0 to 100, below which a small model's answer is
/// dropped for a larger one's. In trials on a quiet day 60 earned 0.804, 50 0.796,
/// always the smallest 0.549, always the largest 0.657 of what is owed.
const CONFIDENT: u8 = 60;
/// Part of the target latency after which no larger model is asked: its answer
/// would come late, and late answers are worth less than most small models' ones.
const ESCALATE_WITHIN: f64 = 0.6;
/// Time that a larger model takes before its first event besides reading the prompt.
const BEGIN: Duration = Duration::from_millis(200);

/// What came of the start of a stream.
pub enum Start<C: Codec> {
    /// The stream has begun.
    Begun(Box<Relay<C>>),
    /// An upstream answered with a failure of its own.
    Failed(Whole),
    /// No upstream answered.
    Refused(Refusal),
}

/// Sees `job` through to the head of its answer.
pub async fn start<C: Codec>(shared: &Arc<Shared<C>>, job: Job) -> Start<C> {
    let mut dispatch = plain::dispatch(&job);
    let mut tried = Vec::new();
    let mut failing = Vec::new();
    let mut failed = None;
    let mut model = job.route.models.first().cloned();
    shared.note_first(&job.service);
    loop {
        // With none left, one that failed may do better on another connection, and one
        // that did not may be asked for a larger model's answer.
        let picked = pick::upstream(shared, &job, model.as_ref(), &tried)
            .or_else(|| pick::upstream(shared, &job, model.as_ref(), &failing))
            .or_else(|| pick::upstream(shared, &job, model.as_ref(), &[]));
        let Some(upstream) = picked else {
            return failed.map_or_else(|| Start::Refused(dispatch.no_upstream()), Start::Failed);
        };
        tried.push(upstream.id.clone());
        let terms = Terms {
            model: model.as_ref(),
            last_event: None,
            has_another: dispatch.has_run_left(),
        };
        let failure = match attempt::send(shared, &job, &upstream, terms).await {
            Ok(begun) if begun.is_failure => match plain::whole(shared, &job, begun).await {
                Ok((answer, _)) => {
                    failed = Some(answer);
                    Failure::Failed
                }
                Err(failure) => failure,
            },
            Ok(begun) => {
                let larger = larger(shared, &job, &dispatch, model.as_ref(), &begun);
                if larger.is_none() {
                    let relay = Relay::new(shared, job, dispatch, tried, model, begun);
                    return open(relay).await;
                }
                dispatch.dropped();
                model = larger;
                continue;
            }
            Err(failure) => failure,
        };
        failing.push(upstream.id.clone());
        match plain::next(shared, &job, &mut dispatch, failure) {
            Next::Retry => {}
            Next::Refuse(refusal) => {
                return failed.map_or(Start::Refused(refusal), Start::Failed);
            }
        }
    }
}

async fn open<C: Codec>(mut relay: Relay<C>) -> Start<C> {
    match relay.open().await {
        Ok(()) => Start::Begun(Box::new(relay)),
        Err(refusal) => Start::Refused(refusal),
    }
}

/// The model to ask in place of an answer that its own model thinks little of.
fn larger<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    dispatch: &Dispatch,
    model: Option<&id::Model>,
    begun: &Begun<C>,
) -> Option<id::Model> {
    let largest = job.route.models.last()?;
    let confidence = begun.confidence?;
    let is_poor = confidence < CONFIDENT && model != Some(largest);
    let now = shared.clock.now();
    let elapsed = now.since(job.started);
    let target = job.route.target_latency;
    let reads = shared.rate().work(Some(largest), job.asked.prompt_tokens());
    let is_early = elapsed < target.mul_f64(ESCALATE_WITHIN)
        && elapsed + Duration::from_secs_f64(reads) + BEGIN < target;
    if !is_poor || !is_early || !dispatch.has_run_left() {
        return None;
    }
    if !shared.may_repeat(&job.service) {
        return None;
    }
    shared
        .metrics
        .escalated
        .with_label_values(&[job.route.name.as_str()])
        .inc();
    log::debug!(id = job.asked.id.as_str(), confidence; "asking a larger model");
    Some(largest.clone())
}
