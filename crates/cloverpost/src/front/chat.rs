//! `POST /v1/chat/completions`.

use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::billing::Kind;
use cloverpost_core::catalogue;
use cloverpost_core::id;
use cloverpost_core::refusal::{Code, Ran, Refusal};
use cloverpost_core::{choice, poison, session};
use http::{HeaderValue, Response};

use crate::clock;
use crate::front::cascade::{Cascade, Outcome};
use crate::front::disconnect::Disconnect;
use crate::front::job::Job;
use crate::front::selection::Selected;
use crate::front::{Body, State, bill, execute, headers, relay, response, selection};
use crate::upstream;

/// Path of chat requests, for callers and upstreams.
pub const PATH: &str = "/v1/chat/completions";

/// Bytes of the first message that determine the affinity.
const AFFINITY_PREFIX: usize = 1_024;

/// A parsed chat request.
struct Chat {
    model: String,
    stream: bool,
    include_usage: bool,
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Handles a chat request of `organisation`.
pub async fn handle(
    state: &State,
    catalogue: &catalogue::Catalogue,
    organisation: &catalogue::Organisation,
    request: id::Request,
    incoming: &http::request::Parts,
    body: &Bytes,
    caller: &mut Disconnect,
) -> Result<Response<Body>, Refusal> {
    let mut chat = Chat::parse(body)?;
    let session = incoming.headers.get(headers::SESSION);
    let selected = match session {
        Some(token) => Selected::only(session_entry(
            state,
            catalogue,
            organisation,
            token,
            &chat.model,
        )?),
        None => selection::select(state, catalogue, organisation, &chat.model)?,
    };
    let entry = selected.first;
    chat.set_priority(catalogue, entry);
    let rated_prompt = state
        .ratings
        .should_rate(selected.trial)
        .then(|| chat.prompt());
    let job = Job {
        organisation: organisation.name.clone(),
        entry: entry.clone(),
        stream: chat.stream,
        include_usage: chat.include_usage,
        affinity: Some(chat.affinity(session)),
        fingerprint: poison::Fingerprint::of(&organisation.name, body),
        call: upstream::Call {
            request,
            method: http::Method::POST,
            path: http::uri::PathAndQuery::from_static(PATH),
            headers: headers::to_upstream(&incoming.headers),
            body: chat.body_for(entry),
        },
        may_have_run: Arc::default(),
        received: state.clock.now(),
        time_limit: time_limit(catalogue, entry),
        entry_start: state.clock.now(),
        prior_charges: Vec::new(),
        previous_entry: None,
        previous_ran: Ran::No,
        rated_prompt,
    };
    let mut cascade = chat.cascade(job, selected.second);
    let result = tokio::select! {
        result = cascade.run(state) => result,
        // Dropping the run cancels it on the upstream.
        () = caller.disconnected() => {
            cascade.bill_cancelled(state).await;
            return Err(caller_disconnected(state));
        }
    };
    let outcome = result?;
    let job = cascade.job;
    let token = session.cloned().or_else(|| open_session(state, &job));
    let mut response = match outcome {
        Outcome::Stream(stream) => relay::start(state, job, stream),
        Outcome::Full(full) => {
            bill_full(state, &job, &full).await;
            response::full(state, &job, full)
        }
        Outcome::Buffered(buffered) => {
            bill::record(state, &job, buffered.usage, Kind::Whole).await;
            relay::buffered(state, &job, &buffered.events)
        }
    };
    if let Some(token) = token {
        response.headers_mut().insert(headers::SESSION, token);
    }
    Ok(response)
}

/// Bills a response that is not a stream. Error responses are not billed.
async fn bill_full(state: &State, job: &Job, full: &execute::FullResponse) {
    if !full.status.is_success() {
        return;
    }
    bill::record(state, job, full.usage(), Kind::Whole).await;
    response::record_latency_and_sample(state, job, || full.text());
}

/// Returns the entry of the session that `token` identifies.
fn session_entry<'a>(
    state: &State,
    catalogue: &'a catalogue::Catalogue,
    organisation: &catalogue::Organisation,
    token: &HeaderValue,
    model: &str,
) -> Result<&'a catalogue::Entry, Refusal> {
    let text = token.to_str().unwrap_or_default();
    let now = clock::stamp();
    let entry = session::admit(&state.sessions, text, organisation, catalogue, now)?;
    if model == entry.name.as_str() || model == entry.class.as_str() {
        return Ok(entry);
    }
    let message = format!("the session is on `{}`, not on `{model}`", entry.name);
    Err(Refusal::not_run(Code::MalformedBody, message))
}

/// Creates the token of a new session on the entry of `job`.
fn open_session(state: &State, job: &Job) -> Option<HeaderValue> {
    let token = session::Token {
        organisation: job.organisation.clone(),
        entry: job.entry.name.clone(),
        version: job.entry.version.clone(),
        issued: clock::stamp(),
        id: id::Session::random(&mut rand::rng()),
    };
    HeaderValue::try_from(state.sessions.seal(&token)).ok()
}

/// Counts a disconnect and returns a refusal, which is used only for the metrics.
fn caller_disconnected(state: &State) -> Refusal {
    state.metrics.disconnected.inc();
    Refusal::uncertain(Code::TimedOut, "the caller disconnected")
}

fn time_limit(catalogue: &catalogue::Catalogue, entry: &catalogue::Entry) -> std::time::Duration {
    catalogue
        .class(&entry.class)
        .map(catalogue::Class::time_limit)
        .unwrap_or_default()
}

/// Returns the scheduling priority of a request on an engine; lower values run first.
fn priority(catalogue: &catalogue::Catalogue, entry: &catalogue::Entry) -> i64 {
    let class = catalogue.class(&entry.class);
    -i64::from(class.map_or(0, |class| class.value))
}

impl Chat {
    fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("the body is no JSON object: {error}")))?;
        let model = fields.get("model").and_then(serde_json::Value::as_str);
        let model = model
            .ok_or_else(|| malformed("`model` must be a string".to_owned()))?
            .to_owned();
        let messages = fields.get("messages").and_then(serde_json::Value::as_array);
        if messages.is_none_or(Vec::is_empty) {
            return Err(malformed(
                "`messages` must be an array with a message".to_owned(),
            ));
        }
        let stream = match fields.get("stream") {
            None | Some(serde_json::Value::Null) => false,
            Some(serde_json::Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("`stream` must be true or false".to_owned())),
        };
        let include_usage = fields
            .get("stream_options")
            .is_some_and(|options| options["include_usage"] == true);
        Ok(Self {
            model,
            stream,
            include_usage,
            fields,
        })
    }

    /// Returns the affinity of the request, so that requests that share a cached prompt reach
    /// the same upstream. It is derived from the session, or otherwise from the start of the
    /// first message, which is often a shared system prompt.
    fn affinity(&self, session: Option<&HeaderValue>) -> choice::Affinity {
        if let Some(session) = session {
            return choice::Affinity::of(session.as_bytes());
        }
        let first = self
            .fields
            .get("messages")
            .and_then(|messages| messages.get(0));
        let text = first.map(serde_json::Value::to_string).unwrap_or_default();
        let end = text.floor_char_boundary(AFFINITY_PREFIX);
        choice::Affinity::of(&text.as_bytes()[..end])
    }

    /// Overwrites the priority stated by the caller with that of the class, which operators
    /// set.
    fn set_priority(&mut self, catalogue: &catalogue::Catalogue, entry: &catalogue::Entry) {
        let priority = priority(catalogue, entry);
        self.fields.insert("priority".to_owned(), priority.into());
    }

    /// Returns the messages as JSON, for the rater.
    fn prompt(&self) -> String {
        let messages = self.fields.get("messages");
        messages
            .map(serde_json::Value::to_string)
            .unwrap_or_default()
    }

    /// Creates the cascade from `job` to `second`.
    ///
    /// With a second entry, the first response is rated before it is sent to the caller, so
    /// it is not sampled for rating again.
    fn cascade(&self, job: Job, second: Option<&catalogue::Entry>) -> Cascade {
        let Some(second) = second else {
            return Cascade::new(job, None, String::new());
        };
        let call = upstream::Call {
            body: self.body_for(second),
            ..job.call.clone()
        };
        let second_job = Job {
            entry: second.clone(),
            call,
            may_have_run: Arc::default(),
            ..job.clone()
        };
        Cascade::new(
            Job {
                rated_prompt: None,
                ..job
            },
            Some(second_job),
            self.prompt(),
        )
    }

    /// Returns the body to send to upstreams of `entry`: with the name of the version as
    /// model and, for streams, a request for the usage, which the bill needs.
    fn body_for(&self, entry: &catalogue::Entry) -> Bytes {
        let mut fields = self.fields.clone();
        let model = match &entry.model {
            Some(model) => format!("{model}@{}", entry.version),
            None => entry.name.to_string(),
        };
        fields.insert("model".to_owned(), model.into());
        if self.stream {
            let options = serde_json::json!({"include_usage": true});
            fields.insert("stream_options".to_owned(), options);
        }
        Bytes::from(serde_json::Value::Object(fields).to_string())
    }
}

fn malformed(message: String) -> Refusal {
    Refusal::not_run(Code::MalformedBody, message)
}
