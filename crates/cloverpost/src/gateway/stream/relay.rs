//! Relay of an upstream's event stream to the caller.

use std::sync::Arc;

use bytes::Bytes;
use cloverpost_core::balance::Event;
use cloverpost_core::dispatch::{Dispatch, Failure, Next};
use cloverpost_core::hedge::{Hedge, Step};
use cloverpost_core::refusal::Refusal;
use cloverpost_core::{directory, id, time};
use futures_util::stream::FuturesUnordered;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use crate::gateway::Shared;
use crate::gateway::attempt::{self, End, UpstreamResponse};
use crate::gateway::buffers::{self, Reservation};
use crate::gateway::codec::Codec;
use crate::gateway::events::{MAX_EVENT_BYTES, Splitter};
use crate::gateway::hedge::{self, Ended, Grant, Plan, Signals, Watch};
use crate::gateway::in_flight::InFlightGuard;
use crate::gateway::job::Job;
use crate::gateway::offers::Offer;
use crate::gateway::path::Loss;
use crate::gateway::pool::Connection;
use crate::gateway::slot::UpstreamSlot;
use crate::gateway::stream::silence::Silence;
use crate::gateway::{crashes, response, rollout_evidence, selection, shutdown, unary};

/// The response stream was aborted; the caller's connection closes without the final chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response stream aborted")
    }
}

impl std::error::Error for StreamAborted {}

/// Forwards events to the caller and resumes an interrupted run on another upstream.
pub struct Relay<C: Codec> {
    shared: Arc<Shared<C>>,
    job: Arc<Job>,
    dispatch: Dispatch,
    tried: Vec<id::Upstream>,
    model: Option<id::Model>,
    /// Whether a retry taken from the budget has not led to work on any upstream yet.
    has_unspent_retry: bool,
    splitter: Splitter,
    /// Memory for an event that is incomplete and large.
    reservation: Option<Reservation>,
    /// Response head of the first run.
    pub head: http::response::Parts,
    running: Option<UpstreamRun<C>>,
    /// Outcome for metrics and the log; `None` until the stream ends.
    outcome: Option<&'static str>,
    /// Events that were buffered before the response head was sent.
    first_events: Option<Bytes>,
    /// Whether the caller gets a refusal instead of the stream.
    is_refused: bool,
    /// Keeps the body available to other requests.
    _offer: Option<Offer>,
    end: shutdown::Watch,
}

/// The run on an upstream that currently feeds the stream.
struct UpstreamRun<C: Codec> {
    slot: UpstreamSlot<C>,
    connection: Connection,
    body: Incoming,
    /// When the response head was received.
    head_received: time::Moment,
    /// Number of events from earlier runs.
    events_before: u32,
    /// Number of attempts before it.
    attempts_before: usize,
    /// Whether the pace of this run was recorded.
    is_pace_recorded: bool,
    /// Whether the body ends with its connection.
    is_unframed: bool,
    /// Whether its end is known to be that of the body.
    is_proven: bool,
}

/// A frame of a response's body.
type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What comes first while a run is silent.
enum Progress<C: Codec> {
    /// A frame of the run.
    Frame(BodyFrame),
    /// The end of an attempt beside it.
    Ended(Box<Ended<C>>),
    /// Leave for another attempt.
    Granted(Grant),
    /// The job's deadline.
    Expired,
}

/// What a frame holds.
enum Part {
    /// Complete events.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// A part of an event.
    Incomplete,
}

impl<C: Codec> UpstreamRun<C> {
    /// The run of `response`, after `events_before` events of earlier runs.
    fn new(
        response: UpstreamResponse<C>,
        now: time::Moment,
        events_before: u32,
        attempts_before: usize,
    ) -> Self {
        Self {
            slot: response.slot,
            connection: response.connection,
            body: response.body,
            head_received: now,
            events_before,
            attempts_before,
            is_pace_recorded: false,
            is_unframed: response.is_unframed,
            is_proven: true,
        }
    }

    /// Whether it is the first attempt of the request.
    const fn is_first(&self) -> bool {
        self.attempts_before == 0
    }
}

impl<C: Codec> Relay<C> {
    /// Relays `response`, which `model` generates.
    pub fn new(
        shared: &Arc<Shared<C>>,
        job: Job,
        dispatch: Dispatch,
        tried: Vec<id::Upstream>,
        model: Option<id::Model>,
        response: UpstreamResponse<C>,
    ) -> Self {
        let offer = unary::offer_body(shared, &job, &dispatch, response.is_failure);
        let (head, now) = (response.head.clone(), shared.clock.now());
        let attempts_before = tried.len().saturating_sub(1);
        Self {
            shared: shared.clone(),
            job: Arc::new(job),
            dispatch,
            tried,
            model,
            has_unspent_retry: false,
            splitter: Splitter::default(),
            reservation: None,
            head,
            running: Some(UpstreamRun::new(response, now, 0, attempts_before)),
            outcome: None,
            first_events: None,
            is_refused: false,
            _offer: offer,
            end: shared.end.subscribe(),
        }
    }

    /// Converts the relay to body frames. `in_flight` is held until the stream ends.
    pub fn frames(
        self: Box<Self>,
        in_flight: InFlightGuard,
    ) -> impl Stream<Item = Result<Frame<Bytes>, StreamAborted>> + Send + use<C> {
        stream::unfold((self, in_flight), |(mut relay, in_flight)| async move {
            let frame = relay.next().await?;
            Some((frame, (relay, in_flight)))
        })
    }

    /// Buffers the first events before the response head is sent, so that the caller gets a
    /// refusal, not an aborted connection, if the stream fails before its first event.
    pub async fn buffer_first_events(&mut self) -> Result<(), Refusal> {
        let first = self.next_events().await;
        self.is_refused = first.is_err();
        self.first_events = first?;
        Ok(())
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, StreamAborted>> {
        if let Some(first) = self.first_events.take() {
            return Some(Ok(Frame::data(first)));
        }
        if self.outcome.is_some() {
            return None;
        }
        let (shared, mut end) = (self.shared.clone(), self.end.clone());
        let events = tokio::select! {
            events = self.next_events() => events,
            () = shutdown::ended(&shared, &mut end) => Err(shutdown::refusal_at_end(&self.job)),
        };
        let events = events.map_err(|refusal| {
            self.outcome = Some("cut");
            log::info!(id = self.job.head.id.as_str(), why:% = refusal.message; "response stream aborted");
            StreamAborted
        });
        events.transpose().map(|events| events.map(Frame::data))
    }

    /// Returns the next complete events, resuming as needed; `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let failure = match self.read_events().await {
                Ok(Some(events)) => {
                    self.record_pace(MIN_PACE_EVENTS);
                    return Ok(Some(events));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.drop_run();
            self.resume(failure).await?;
        }
    }

    /// Reads the next complete events; `None` at the end of the stream. While the run is silent, another
    /// one is begun in its place.
    async fn read_events(&mut self) -> Result<Option<Bytes>, Failure> {
        let since = self.shared.clock.now();
        loop {
            let may_resume = self.dispatch.may_begin(1, since);
            let running = self.running.as_mut().ok_or(Failure::ConnectionLost)?;
            let (shared, job) = (&self.shared, &*self.job);
            let plan = Plan {
                model: self.model.as_ref(),
                last_event: self.splitter.last_id(),
                has_unspent_retry: self.has_unspent_retry,
                other_runs: 0,
            };
            let signals = Signals::default();
            let watch = Watch {
                run: Some(Silence::new(shared, job, &running.slot, since, may_resume)),
                attempts: &signals,
            };
            let hedge = Hedge::of_run();
            let grant =
                hedge::granted(shared, job, &self.dispatch, hedge, plan, &self.tried, watch);
            let part = tokio::select! {
                frame = running.body.frame() => self.take_frame(frame).await?,
                grant = grant => self.replace(grant, since).await?,
                () = hedge::expired(shared, job) => return Err(self.expire()),
            };
            match part {
                Part::Events(events) => return Ok(Some(events)),
                Part::End => return Ok(None),
                Part::Incomplete => {}
            }
        }
    }

    /// Takes a frame of the current run.
    async fn take_frame(&mut self, frame: BodyFrame) -> Result<Part, Failure> {
        let data = match frame {
            None if self.splitter.has_partial_event() => return Err(self.record_lost().await),
            None => return self.check_end().await.map(|()| Part::End),
            Some(Err(_)) => return Err(self.record_lost().await),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let running = self.running.as_ref().ok_or(Failure::ConnectionLost)?;
        running.connection.record_part();
        running.slot.record(Event::Heard);
        let Ok(events) = self.splitter.push(&data) else {
            running.slot.record(Event::Broke);
            return Err(Failure::Malformed);
        };
        if !events.is_empty() {
            let reservation = self.reservation.take();
            return Ok(Part::Events(match reservation {
                Some(reservation) => reservation.attach(events),
                None => events,
            }));
        }
        let is_large = self.splitter.partial_bytes() > buffers::UNRESERVED_BYTES;
        if is_large && self.reservation.is_none() {
            let left = self.job.deadline.since(self.shared.clock.now());
            let reserve = self.shared.buffers.reserve(2 * MAX_EVENT_BYTES);
            let reservation = tokio::time::timeout(left, reserve).await;
            self.reservation = Some(reservation.map_err(|_elapsed| Failure::Stalled)?);
        }
        Ok(Part::Incomplete)
    }

    /// Sends the request to the upstream of `grant` beside the current run, which has been silent since
    /// `since`. The one that gives the next part goes on.
    async fn replace(&mut self, grant: Grant, since: time::Moment) -> Result<Part, Failure> {
        let (shared, job, model) = (self.shared.clone(), self.job.clone(), self.model.clone());
        let last_event = self.splitter.last_id().map(str::to_owned);
        let mut plan = Plan {
            model: model.as_ref(),
            last_event: last_event.as_deref(),
            ..Plan::default()
        };
        let mut hedge = Hedge::of_run();
        let mut attempts = FuturesUnordered::new();
        let mut signals = Signals::default();
        let Grant {
            upstream,
            failure: silence,
        } = grant;
        let mut next = Some(upstream);
        loop {
            if let Some(upstream) = next.take() {
                self.tried.push(upstream.id.clone());
                hedge.begin();
                let options = plan.options(&shared, &self.dispatch, hedge, &self.tried);
                let overdue = signals.add(&upstream, shared.clock.now());
                attempts.push(hedge::begin(&shared, &job, upstream, options, overdue));
            }
            let progress = self.progress(since, &mut attempts, &signals, hedge, plan);
            let failure = match progress.await {
                Progress::Expired => return Err(self.expire()),
                Progress::Granted(grant) => {
                    plan.has_unspent_retry = false;
                    next = Some(grant.upstream);
                    continue;
                }
                Progress::Frame(frame) => match self.take_frame(frame).await {
                    Ok(part) => {
                        signals.discard(&shared, &job, &mut self.dispatch);
                        self.has_unspent_retry = plan.has_unspent_retry;
                        return Ok(part);
                    }
                    Err(failure) => {
                        self.drop_run();
                        hedge.run_failed();
                        self.dispatch.record_last_failure(failure);
                        continue;
                    }
                },
                Progress::Ended(ended) => {
                    signals.remove(&ended);
                    match ended.result {
                        Ok(response) if !response.is_failure => {
                            signals.discard(&shared, &job, &mut self.dispatch);
                            if self.running.is_some() {
                                self.dispatch.record_last_failure(silence);
                            }
                            self.switch_to(response);
                            return Ok(Part::Incomplete);
                        }
                        Ok(_) => Failure::Failed,
                        Err(failure) => failure,
                    }
                }
            };
            if hedge.attempt_failed() == Step::Retry {
                return Err(failure);
            }
            hedge::record(&shared, &job, "failed");
            self.dispatch.record_last_failure(failure);
            plan.has_unspent_retry |= failure.is_exempt_from_budget();
            if attempts.is_empty() {
                self.has_unspent_retry = plan.has_unspent_retry;
                return Ok(Part::Incomplete);
            }
        }
    }

    /// Waits for the current run, which has been silent since `since`, and for the `attempts` beside it.
    async fn progress<F: Future<Output = Ended<C>>>(
        &mut self,
        since: time::Moment,
        attempts: &mut FuturesUnordered<F>,
        signals: &Signals,
        hedge: Hedge,
        plan: Plan<'_>,
    ) -> Progress<C> {
        let (shared, job) = (&self.shared, &*self.job);
        let (slot, body) = match &mut self.running {
            Some(run) => (Some(&run.slot), Some(&mut run.body)),
            None => (None, None),
        };
        let watch = Watch {
            run: slot.map(|slot| Silence::new(shared, job, slot, since, true)),
            attempts: signals,
        };
        tokio::select! {
            frame = next_frame(body) => Progress::Frame(frame),
            Some(ended) = attempts.next() => Progress::Ended(Box::new(ended)),
            grant = hedge::granted(shared, job, &self.dispatch, hedge, plan, &self.tried, watch) => {
                Progress::Granted(grant)
            }
            () = hedge::expired(shared, job) => Progress::Expired,
        }
    }

    /// Continues the stream with `response`.
    fn switch_to(&mut self, response: UpstreamResponse<C>) {
        self.drop_run();
        log::info!(
            id = self.job.head.id.as_str(), upstream = response.slot.upstream.id.as_str(),
            after = self.splitter.last_id().unwrap_or("start"), sends = self.tried.len();
            "stream continues at another upstream"
        );
        let route = self.job.route.name.as_str();
        let resumed = &self.shared.metrics.resumed;
        resumed.with_label_values(&[route]).inc();
        let now = self.shared.clock.now();
        self.running = Some(UpstreamRun::new(
            response,
            now,
            self.splitter.count(),
            self.tried.len() - 1,
        ));
        self.has_unspent_retry = false;
    }

    /// Drops the current run, and what it has given of an event.
    fn drop_run(&mut self) {
        self.record_unfinished_event();
        self.running = None;
        self.splitter.discard_partial();
        self.reservation = None;
    }

    /// Ends the current run at the job's deadline.
    fn expire(&mut self) -> Failure {
        self.record_unfinished_event();
        Failure::Stalled
    }

    /// Records an upstream that is not silent, but does not end its event.
    fn record_unfinished_event(&self) {
        if let Some(running) = self.running.as_ref().filter(|_| self.reservation.is_some()) {
            running.slot.record(Event::Broke);
        }
    }

    /// Records that the current run broke off.
    async fn record_lost(&self) -> Failure {
        let Some(running) = &self.running else {
            return Failure::Truncated;
        };
        let (slot, connection) = (&running.slot, &running.connection);
        let failure = Failure::Truncated;
        let check = attempt::record_loss(&self.shared, &self.job, slot, connection, failure);
        let loss = check.await;
        if loss == Loss::Path {
            return Failure::PathLost;
        }
        let (upstream, began) = (&slot.upstream, running.head_received);
        let is_crash = loss == Loss::Upstream;
        let is_first = running.is_first();
        rollout_evidence::record_cut(&self.shared, &self.job, upstream, began, is_crash, is_first);
        failure
    }

    /// Checks whether the current run, whose body has ended, is complete.
    async fn check_end(&mut self) -> Result<(), Failure> {
        let Some(running) = self.running.as_mut().filter(|run| run.is_unframed) else {
            return Ok(());
        };
        let (slot, connection) = (&running.slot, &running.connection);
        let end = attempt::find_end(&self.shared, &self.job, slot, connection).await?;
        running.is_proven = end == End::Complete;
        Ok(())
    }

    /// Resumes the stream on another upstream after a failure, if a retry is allowed.
    async fn resume(&mut self, mut failure: Failure) -> Result<(), Refusal> {
        loop {
            log::info!(
                id = self.job.head.id.as_str(), result = failure.as_str(),
                after = self.splitter.last_id().unwrap_or("start");
                "stream broke off"
            );
            let next = unary::next_step(&self.shared, &self.job, &mut self.dispatch, failure).await;
            if let Next::Refuse(refusal) = next {
                return Err(refusal);
            }
            let model = self.model.as_ref();
            let Some(upstream) =
                selection::select_upstream(&self.shared, &self.job, model, &self.tried)
            else {
                return Err(self.dispatch.no_upstream());
            };
            failure = match self.resume_on(upstream).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
        }
    }

    async fn resume_on(&mut self, upstream: Arc<directory::Upstream>) -> Result<(), Failure> {
        self.tried.push(upstream.id.clone());
        let plan = Plan {
            model: self.model.as_ref(),
            last_event: self.splitter.last_id(),
            ..Plan::default()
        };
        let (dispatch, tried) = (&mut self.dispatch, &mut self.tried);
        let response =
            hedge::send(&self.shared, &self.job, dispatch, tried, plan, upstream).await?;
        if response.is_failure {
            return Err(Failure::Failed);
        }
        self.switch_to(response);
        Ok(())
    }

    /// Records the pace of the run as rollout evidence, once, after `min_events` events. A slow
    /// stream may outlast the rollout, so this does not wait for its end.
    fn record_pace(&mut self, min_events: u32) {
        let Some(running) = self.running.as_mut().filter(|run| !run.is_pace_recorded) else {
            return;
        };
        let events = self.splitter.count() - running.events_before;
        if events < min_events {
            return;
        }
        running.is_pace_recorded = true;
        let began = running.head_received;
        let pace = self.shared.clock.now().since(began) / events;
        let upstream = &running.slot.upstream;
        let model = self.model.as_ref();
        rollout_evidence::record_pace(
            &self.shared,
            &self.job,
            upstream,
            model,
            began,
            pace,
            running.is_first(),
        );
    }

    fn finish(&mut self) {
        self.outcome = Some("answered");
        let took = self.shared.clock.now().since(self.job.admitted);
        self.shared.durations().record(&self.job.route.name, took);
        self.record_pace(MIN_PACE_EVENTS_AT_END);
        if let Some(running) = self.running.take() {
            if running.is_proven {
                crashes::record_success(&self.shared, &self.job);
            }
            self.record_decode(&running);
            running.slot.record(Event::Succeeded);
            if !running.is_unframed {
                self.shared.pool.put_back(running.connection);
            }
        }
    }

    /// Updates the estimate of generation time from a run that was not resumed.
    fn record_decode(&self, running: &UpstreamRun<C>) {
        if running.events_before > 0 {
            return;
        }
        let took = self.shared.clock.now().since(running.head_received);
        let tokens = self.job.head.generated_tokens();
        let mut speed = self.shared.speed();
        speed.record_decode(self.model.as_ref(), tokens, took);
    }
}

/// Events of a run after which its pace is recorded. With fewer events, one that is delayed
/// by the prompt of another request would make a good run look slow.
const MIN_PACE_EVENTS: u32 = 4;
/// Events of a run after which its pace is recorded if the stream has ended.
const MIN_PACE_EVENTS_AT_END: u32 = 2;

/// The next frame of `body`; never without one.
async fn next_frame(body: Option<&mut Incoming>) -> BodyFrame {
    match body {
        Some(body) => body.frame().await,
        None => std::future::pending().await,
    }
}

impl<C: Codec> Drop for Relay<C> {
    /// Records the end of the stream, also when the caller disconnects.
    fn drop(&mut self) {
        if self.is_refused {
            return;
        }
        let outcome = self.outcome.unwrap_or("left");
        let took = self.shared.clock.now().since(self.job.started);
        let route = self.job.route.name.as_str();
        self.shared
            .metrics
            .requests
            .with_label_values(&[route, outcome])
            .inc();
        log::info!(
            id = self.job.head.id.as_str(), route, outcome, session = self.job.head.session,
            sends = self.tried.len(), model = self.model.as_ref().map_or("", id::Model::as_str),
            took_ms = response::millis(took);
            "stream ended"
        );
    }
}
