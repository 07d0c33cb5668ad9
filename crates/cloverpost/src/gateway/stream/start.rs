//! Start of a stream: selection of the model and the upstream.

use std::sync::Arc;

use cloverpost_core::dispatch::{Failure, Next};
use cloverpost_core::refusal::Refusal;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::hedge::{self, Plan};
use crate::gateway::job::Job;
use crate::gateway::response::FullResponse;
use crate::gateway::stream::{Relay, escalate};
use crate::gateway::{selection, unary};

/// Outcome of starting a stream.
pub enum StreamStart<C: Codec> {
    /// The first events were received.
    Streaming(Box<Relay<C>>),
    /// An upstream responded with a failure.
    Failed(FullResponse),
    /// No upstream gave a response.
    Refused(Refusal),
}

/// Runs attempts of `job` until a stream starts or no further attempt is allowed.
pub async fn start<C: Codec>(shared: &Arc<Shared<C>>, job: Job) -> StreamStart<C> {
    let mut dispatch = unary::new_dispatch(&job);
    let mut tried = Vec::new();
    let mut failed_upstreams = Vec::new();
    let mut failure_response = None;
    let model = job.route.models.first().cloned();
    shared.record_first_attempt(&job.service);
    loop {
        // Once every upstream was tried, those that did not fail come first, as they may
        // serve the larger model; then the failed ones, on a new connection.
        let selected = selection::select_upstream(shared, &job, model.as_ref(), &tried)
            .or_else(|| selection::select_upstream(shared, &job, model.as_ref(), &failed_upstreams))
            .or_else(|| selection::select_upstream(shared, &job, model.as_ref(), &[]));
        let Some(upstream) = selected else {
            return failure_response.map_or_else(
                || StreamStart::Refused(selection::no_upstream_refusal(shared, &job, &dispatch)),
                StreamStart::Failed,
            );
        };
        tried.push(upstream.id.clone());
        let begun = tried.len() - 1;
        let plan = Plan {
            model: model.as_ref(),
            ..Plan::default()
        };
        let response = hedge::send(shared, &job, &mut dispatch, &mut tried, plan, upstream);
        let failure = match response.await {
            Ok(response) if response.is_failure => {
                match unary::read_full(shared, &job, response).await {
                    Ok(received) => {
                        failure_response = Some(received.response);
                        Failure::Failed
                    }
                    Err(failure) => failure,
                }
            }
            Ok(response) => {
                let escalated =
                    escalate::escalate(shared, &job, &mut dispatch, &mut tried, model, response);
                let (model, response) = escalated.await;
                let relay = Relay::new(shared, job, dispatch, tried, model, response);
                return buffer_first_events(relay).await;
            }
            Err(failure) => failure,
        };
        failed_upstreams.extend_from_slice(&tried[begun..]);
        match unary::next_step(shared, &job, &mut dispatch, failure, false).await {
            Next::Retry => {}
            Next::Refuse(refusal) => {
                return failure_response.map_or(StreamStart::Refused(refusal), StreamStart::Failed);
            }
        }
    }
}

async fn buffer_first_events<C: Codec>(mut relay: Relay<C>) -> StreamStart<C> {
    match relay.buffer_first_events().await {
        Ok(()) => StreamStart::Streaming(Box::new(relay)),
        Err(refusal) => StreamStart::Refused(refusal),
    }
}
