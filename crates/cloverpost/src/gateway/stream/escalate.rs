//! Escalation of a request to the largest model.
//!
//! The response of the smaller model is dropped only once that of the larger one has begun, and serves
//! the caller if that does not happen.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::dispatch::{Dispatch, Failure};
use cloverpost_core::hedge::Hedge;
use cloverpost_core::{escalation, id};

use crate::gateway::Shared;
use crate::gateway::attempt::{self, UpstreamResponse};
use crate::gateway::codec::{Codec, RequestHead};
use crate::gateway::hedge::{self, Plan};
use crate::gateway::job::Job;
use crate::gateway::{response, shutdown, unary};

/// Fraction of the target latency after which a request is not escalated: a late response
/// of a larger model is worth less than a timely one of a small model.
const MAX_ELAPSED_FRACTION: f64 = 0.6;
/// Time from sending a request to its first event, without prompt processing.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(200);
/// Latency of the response head on an idle engine, without prompt processing.
const UNLOADED_HEAD_LATENCY: Duration = Duration::from_millis(60);
/// Multiple of the expected number of generated tokens that a response is assumed to stay
/// below.
const LENGTH_MARGIN: u32 = 2;
/// Prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_PRICED_TOKEN: f64 = 4.0;
/// Weight of a generated token, in prompt tokens, in the size of a request.
const GENERATED_TOKEN_SIZE: f64 = 10.0;
/// Number of tokens that a model's cost refers to.
const PRICE_UNIT_TOKENS: f64 = 1000.0;

/// The response to relay in place of `response`, which `model` generates, with its model: that of the
/// largest model, if the gain outweighs the cost and an upstream gives one.
pub async fn escalate<C: Codec>(
    shared: &Arc<Shared<C>>,
    job: &Job,
    dispatch: &mut Dispatch,
    tried: &mut Vec<id::Upstream>,
    model: Option<id::Model>,
    response: UpstreamResponse<C>,
) -> (Option<id::Model>, UpstreamResponse<C>) {
    let largest = larger_model(shared, job, dispatch, model.as_ref(), &response);
    let Some(largest) = largest else {
        return (model, response);
    };
    let mut plan = Plan {
        model: Some(largest),
        other_runs: 1,
        // Upstreams that ran the smaller model may run the larger one.
        may_return: true,
        ..Plan::default()
    };
    loop {
        let granted = hedge::grant(shared, job, dispatch, Hedge::default(), plan, tried).await;
        let upstream = match granted {
            Ok(upstream) => upstream,
            Err(denial) => {
                hedge::record(shared, job, denial.as_str());
                log::info!(
                    id = job.head.id.as_str(), why:% = denial;
                    "the response of the smaller model is kept"
                );
                return (model, response);
            }
        };
        unary::record_sent_again(shared, job, dispatch, "larger_model");
        tried.push(upstream.id.clone());
        plan.has_unspent_retry = false;
        let larger = hedge::send(shared, job, dispatch, tried, plan, upstream);
        let larger = tokio::time::timeout(max_wait(shared, job), larger).await;
        let failure = match larger {
            Ok(Ok(larger)) if !larger.is_failure => {
                dispatch.record_discarded();
                let route = job.route.name.as_str();
                shared.metrics.escalated.with_label_values(&[route]).inc();
                return (Some(largest.clone()), larger);
            }
            Ok(Ok(_)) => Failure::Failed,
            Ok(Err(failure)) => failure,
            Err(_elapsed) => {
                dispatch.record_discarded();
                hedge::record(shared, job, "discarded");
                log::info!(
                    id = job.head.id.as_str(), why = "late";
                    "the response of the smaller model is kept"
                );
                return (model, response);
            }
        };
        dispatch.record_last_failure(failure);
        plan.has_unspent_retry = failure.is_exempt_from_budget();
    }
}

/// How long the response of a larger model may take to begin. At least half of the time is left for that
/// of the smaller one.
fn max_wait<C: Codec>(shared: &Shared<C>, job: &Job) -> Duration {
    let left = shutdown::deadline(shared, job).since(shared.clock.now());
    let limit = job.route.target_latency * attempt::FIRST_EVENT_TIMEOUT_FACTOR;
    limit.min(left / 2)
}

/// The model to escalate to in place of `response`, if the gain outweighs the cost.
fn larger_model<'a, C: Codec>(
    shared: &Shared<C>,
    job: &'a Job,
    dispatch: &Dispatch,
    model: Option<&id::Model>,
    response: &UpstreamResponse<C>,
) -> Option<&'a id::Model> {
    let largest = job.route.models.last()?;
    let confidence = response.confidence?;
    if model == Some(largest) || !dispatch.may_run_again() {
        return None;
    }
    let settings = shared.settings.load();
    let options = &settings.escalation;
    let elapsed = shared.clock.now().since(job.started);
    let response_duration = generation_time(shared, job, largest);
    let max_generation_time = max_generation_time(shared, job, largest);
    let first_event_after = prefill_time(shared, job, Some(largest)) + FIRST_EVENT_OVERHEAD;
    if is_caller_retry(shared, job)
        || !is_in_time(job, elapsed, first_event_after, max_generation_time)
    {
        return None;
    }
    let usual_size = shared.sizes().mean(&job.route.name);
    let inputs = escalation::Inputs {
        confidence,
        rank: job.route.priority,
        relative_size: relative_size(shared, job),
        usual_size,
        price: price(shared, job, largest),
        response_duration,
        queueing_delay: queueing_delay(shared, job, model, elapsed),
        target: job.route.target_latency,
    };
    let estimate = escalation::estimate(&inputs, options);
    let escalates = estimate.is_worthwhile();
    log::info!(
        id = job.head.id.as_str(), confidence, gain = estimate.gain, cost = estimate.cost,
        price = inputs.price, lasts_s = inputs.response_duration.as_secs_f64(), delay_ms = response::millis(inputs.queueing_delay), asks = escalates;
        "weighed a larger model"
    );
    escalates.then_some(largest)
}

/// Whether there is time to escalate: little of the target latency has elapsed, and a response
/// with its first event after `first_event_after` and a duration of `max_generation_time` would
/// start within the target latency and end before the deadline.
fn is_in_time(
    job: &Job,
    elapsed: Duration,
    first_event_after: Duration,
    max_generation_time: Duration,
) -> bool {
    let target = job.route.target_latency;
    let time_limit = job.deadline.since(job.started);
    let ends = elapsed + first_event_after + max_generation_time;
    elapsed < target.mul_f64(MAX_ELAPSED_FRACTION)
        && elapsed + first_event_after < target
        && ends < time_limit
}

/// Whether the request is a caller's retry after a lost connection. Its response is late in
/// any case, which makes it worth less than the cost of a larger model.
fn is_caller_retry<C: Codec>(shared: &Shared<C>, job: &Job) -> bool {
    let route = &job.route.name;
    let timeout = job.head.timeout;
    timeout.is_some_and(|timeout| shared.caller_retries().is_retry(route, timeout))
}

/// Time that the request has waited in the engine's queue.
fn queueing_delay<C: Codec>(
    shared: &Shared<C>,
    job: &Job,
    model: Option<&id::Model>,
    elapsed: Duration,
) -> Duration {
    elapsed.saturating_sub(prefill_time(shared, job, model) + UNLOADED_HEAD_LATENCY)
}

/// Estimated time that `model` takes to process the prompt.
fn prefill_time<C: Codec>(shared: &Shared<C>, job: &Job, model: Option<&id::Model>) -> Duration {
    let seconds = shared
        .speed()
        .prefill_seconds(model, job.head.prompt_tokens());
    Duration::from_secs_f64(seconds)
}

/// Estimated time that `model` takes to generate the response.
fn generation_time<C: Codec>(shared: &Shared<C>, job: &Job, model: &id::Model) -> Duration {
    let tokens = job.head.generated_tokens();
    shared.speed().decode_time(Some(model), tokens)
}

/// Upper estimate of the generation time, bounded by the caller's limit of tokens.
fn max_generation_time<C: Codec>(shared: &Shared<C>, job: &Job, model: &id::Model) -> Duration {
    let estimated = job.head.generated_tokens().saturating_mul(LENGTH_MARGIN);
    let max = job.head.max_tokens().unwrap_or(u32::MAX);
    shared.speed().decode_time(Some(model), estimated.min(max))
}

/// Records the size of the request and returns it relative to the usual size on its route.
fn relative_size<C: Codec>(shared: &Shared<C>, job: &Job) -> f64 {
    shared
        .sizes()
        .record_relative(&job.route.name, size(&job.head))
}

/// Estimated cost of a response of `model`.
fn price<C: Codec>(shared: &Shared<C>, job: &Job, model: &id::Model) -> f64 {
    let view = shared.view.load();
    let index = view.index.as_ref();
    let service = index.and_then(|index| index.service(&job.service));
    let models = service.into_iter().flat_map(|service| &service.models);
    let entry = { models }.find(|entry| entry.name == *model);
    let cost = entry.map_or(0.0, |entry| entry.cost);
    let prompt = f64::from(job.head.prompt_tokens()) / PROMPT_TOKENS_PER_PRICED_TOKEN;
    (prompt + f64::from(job.head.generated_tokens())) / PRICE_UNIT_TOKENS * cost
}

/// Size of a request, which determines the value of its response.
fn size(head: &RequestHead) -> f64 {
    f64::from(head.prompt_tokens()) + f64::from(head.generated_tokens()) * GENERATED_TOKEN_SIZE
}
