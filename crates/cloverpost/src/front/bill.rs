//! Bills requests.

use std::sync::atomic::Ordering;

use cloverpost_core::billing::{Charge, Kind, Record};
use cloverpost_core::catalogue;
use cloverpost_core::measure::Tokens;

use crate::clock;
use crate::front::State;
use crate::front::job::Job;
use crate::upstream::events::Event;

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the completion.
    pub completion: Tokens,
}

impl Usage {
    /// Returns the usage stated in a response or a chunk of a stream, if any.
    pub fn from_json(body: &serde_json::Value) -> Option<Self> {
        let usage = body.get("usage")?;
        let count = |field| usage.get(field).and_then(serde_json::Value::as_u64);
        Some(Self {
            prompt: Tokens::new(count("prompt_tokens")?),
            completion: Tokens::new(count("completion_tokens")?),
        })
    }

    /// Updates the usage from an event: to the stated usage if there is one, otherwise by one
    /// token for each chunk of text.
    pub fn update(&mut self, event: &Event) {
        let Event::Chunk(chunk) = event else {
            return;
        };
        if let Some(stated) = Self::from_json(chunk) {
            *self = stated;
        } else if chunk["choices"][0]["delta"]["content"].is_string() {
            self.completion = Tokens::new(self.completion.get() + 1);
        }
    }
}

/// Bills `job` with its prior charges, and waits until the end of its response may be
/// released.
///
/// Call it before the caller receives that end. Otherwise a failure of the VM could leave a
/// delivered response without a bill.
pub async fn record(state: &State, job: &Job, usage: Usage, kind: Kind) {
    let mut charges = job.prior_charges.clone();
    charges.push(charge(job, usage, kind));
    write(state, job, charges).await;
}

/// Bills the prior charges of `job` alone, if there are any.
pub async fn record_prior_charges(state: &State, job: &Job) {
    if !job.prior_charges.is_empty() {
        write(state, job, job.prior_charges.clone()).await;
    }
}

/// Bills a run whose caller disconnected. `unbilled` is the usage of a response that was
/// received from the upstream but not forwarded.
pub async fn record_cancelled(state: &State, job: &Job, unbilled: Option<Usage>) {
    if job.may_have_run.load(Ordering::Acquire) {
        record(state, job, unbilled.unwrap_or_default(), Kind::Cancelled).await;
    } else {
        record_prior_charges(state, job).await;
    }
}

/// Returns the charge for one response.
pub fn charge(job: &Job, usage: Usage, kind: Kind) -> Charge {
    Charge {
        entry: job.entry.name.clone(),
        version: version(&job.entry),
        prompt: usage.prompt,
        answer: usage.completion,
        cost: cost(&job.entry, usage),
        kind,
    }
}

async fn write(state: &State, job: &Job, charges: Vec<Charge>) {
    let record = Record {
        request: job.call.request,
        organisation: job.organisation.clone(),
        charges,
        stamp: clock::stamp(),
    };
    state.billing.record(record).await;
}

fn version(entry: &catalogue::Entry) -> Option<cloverpost_core::id::Version> {
    match entry.kind {
        catalogue::Kind::Model => Some(entry.version.clone()),
        catalogue::Kind::Service => None,
    }
}

/// Cost in micro-units: per token for models, per call for plain services.
fn cost(entry: &catalogue::Entry, usage: Usage) -> u64 {
    let tokens = Tokens::new(usage.prompt.get() + usage.completion.get());
    match entry.kind {
        catalogue::Kind::Model => entry.price.of(tokens),
        catalogue::Kind::Service => entry.price.get(),
    }
}
