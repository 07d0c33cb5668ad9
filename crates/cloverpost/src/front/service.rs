//! `/service/{entry}/…`: calls to plain services.

use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::billing::Kind;
use cloverpost_core::catalogue;
use cloverpost_core::id;
use cloverpost_core::poison;
use cloverpost_core::refusal::{Code, Ran, Refusal};
use cloverpost_platform::Platform;
use http::Response;

use crate::front::execute::FullResponse;
use crate::front::job::Job;
use crate::front::{Body, Context, State, bill, execute, headers, idempotency, pick, response};
use crate::upstream;

/// Path prefix of plain services.
pub const PREFIX: &str = "/service/";

/// Handles a call to a plain service.
pub async fn handle<P: Platform>(
    context: &Context<P>,
    catalogue: &catalogue::Catalogue,
    organisation: &catalogue::Organisation,
    request: id::Request,
    incoming: &http::request::Parts,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let state = &context.state;
    let (entry, path) = target(catalogue, &incoming.uri)?;
    pick::check_permission(organisation, entry)?;
    pick::check_accepts_new(entry)?;
    let time_limit = catalogue
        .class(&entry.class)
        .map(catalogue::Class::time_limit)
        .unwrap_or_default();
    let job = Job {
        organisation: organisation.name.clone(),
        entry: entry.clone(),
        stream: false,
        include_usage: false,
        affinity: None,
        fingerprint: poison::Fingerprint::of(&organisation.name, &body),
        call: upstream::Call {
            request,
            method: incoming.method.clone(),
            path,
            headers: headers::to_upstream(&incoming.headers),
            body,
        },
        may_have_run: Arc::default(),
        received: state.clock.now(),
        time_limit,
        entry_start: state.clock.now(),
        prior_charges: Vec::new(),
        previous_entry: None,
        previous_ran: Ran::No,
        rated_prompt: None,
    };
    let key = idempotency::key(&incoming.headers)?;
    let full = match key.filter(|_| !job.idempotent()) {
        Some(key) => idempotency::run(context, &job, key).await?,
        None => run_without_key(state, &job).await?,
    };
    Ok(response::full(state, &job, full))
}

async fn run_without_key(state: &State, job: &Job) -> Result<FullResponse, Refusal> {
    let full = idempotency::require_full(execute::run(state, job).await?)?;
    bill::record(state, job, bill::Usage::default(), Kind::Whole).await;
    Ok(full)
}

/// Returns the entry named by the path, and the path to send to its upstreams.
fn target<'a>(
    catalogue: &'a catalogue::Catalogue,
    uri: &http::Uri,
) -> Result<(&'a catalogue::Entry, http::uri::PathAndQuery), Refusal> {
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let entry = name
        .parse()
        .ok()
        .and_then(|name| catalogue.entry(&name))
        .filter(|entry| entry.kind == catalogue::Kind::Service);
    let Some(entry) = entry else {
        let message = format!("no plain service is named `{name}`");
        return Err(Refusal::not_run(Code::UnknownModel, message));
    };
    let text = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let path = text.parse().map_err(|_| {
        let message = format!("`{text}` is no path");
        Refusal::not_run(Code::UnknownPath, message)
    })?;
    Ok((entry, path))
}
