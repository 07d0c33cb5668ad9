//! A cascade: one entry responds, and a second one if the first response fails its rating.
//!
//! The response of the first of two entries is buffered until its verdict, also if it is
//! streamed: once the caller has received a part of it, it cannot be replaced.

use cloverpost_core::billing::Kind;
use cloverpost_core::dispatch::Failure;
use cloverpost_core::evidence;
use cloverpost_core::id;
use cloverpost_core::refusal::{Code, Ran, Refusal};
use cloverpost_platform::rating::Verdict;

use crate::front::execute::{self, FullResponse, Stream, UpstreamResponse};
use crate::front::job::Job;
use crate::front::{State, bill, relay};
use crate::upstream::events::Event;

/// Largest buffered response, in bytes.
const MAX_BUFFERED: usize = 8 << 20;

/// State of a cascade, from which it can be billed at any time.
#[derive(Debug)]
pub struct Cascade {
    /// Job of the current entry.
    pub job: Job,
    /// Job of the second entry, until it becomes the current one.
    pub second: Option<Job>,
    /// Prompt passed to the rater; empty if there is no second entry.
    pub prompt: String,
    /// Usage of a response that is not billed yet.
    unbilled: Option<bill::Usage>,
}

/// A stream that was buffered to its end.
#[derive(Debug)]
pub struct Buffered {
    /// Events of the stream.
    pub events: Vec<Event>,
    /// Usage to bill.
    pub usage: bill::Usage,
}

/// Result of a cascade.
#[derive(Debug)]
pub enum Outcome {
    /// A response that is not a stream.
    Full(FullResponse),
    /// A stream to relay as it arrives.
    Stream(Stream),
    /// A buffered stream.
    Buffered(Buffered),
}

impl From<UpstreamResponse> for Outcome {
    fn from(response: UpstreamResponse) -> Self {
        match response {
            UpstreamResponse::Full(full) => Self::Full(full),
            UpstreamResponse::Stream(stream) => Self::Stream(stream),
        }
    }
}

impl Cascade {
    /// Creates a cascade that starts with `job`.
    pub const fn new(job: Job, second: Option<Job>, prompt: String) -> Self {
        Self {
            job,
            second,
            prompt,
            unbilled: None,
        }
    }

    /// Runs until there is a response for the caller or a refusal.
    pub async fn run(&mut self, state: &State) -> Result<Outcome, Refusal> {
        let Some(second) = self.second.take() else {
            return execute::run(state, &self.job).await.map(Outcome::from);
        };
        match self.run_first(state).await {
            Ok(outcome) => match self.verdict(state, &outcome).await {
                Some(Verdict::Fail) => self.advance_to(state, second, Ran::Yes),
                // A missing verdict counts as passed.
                Some(Verdict::Pass) | None => return Ok(outcome),
            },
            Err(refusal) if self.may_advance(state, &refusal) => {
                self.unbilled = (refusal.ran == Ran::Yes).then(bill::Usage::default);
                self.advance_to(state, second, refusal.ran);
            }
            Err(refusal) => {
                if refusal.ran == Ran::Yes {
                    bill::record(state, &self.job, bill::Usage::default(), Kind::Cut).await;
                }
                return Err(refusal);
            }
        }
        self.run_second(state).await
    }

    /// Bills a run whose caller disconnected.
    pub async fn bill_cancelled(&self, state: &State) {
        bill::record_cancelled(state, &self.job, self.unbilled).await;
    }

    async fn run_first(&mut self, state: &State) -> Result<Outcome, Refusal> {
        match execute::run_unbilled(state, &self.job).await? {
            UpstreamResponse::Full(full) => {
                self.unbilled = full.status.is_success().then(|| full.usage());
                Ok(Outcome::Full(full))
            }
            UpstreamResponse::Stream(stream) => {
                self.buffer(state, stream).await.map(Outcome::Buffered)
            }
        }
    }

    /// Runs the second entry. A refusal states whether either entry ran.
    async fn run_second(&mut self, state: &State) -> Result<Outcome, Refusal> {
        match execute::run(state, &self.job).await {
            Ok(response) => Ok(response.into()),
            Err(refusal) => {
                if refusal.ran != Ran::Yes {
                    bill::record_prior_charges(state, &self.job).await;
                }
                let ran = either_ran(self.job.previous_ran, refusal.ran);
                Err(Refusal { ran, ..refusal })
            }
        }
    }

    /// Reads a stream to its end, and reports a crash of its upstream.
    async fn buffer(&mut self, state: &State, stream: Stream) -> Result<Buffered, Refusal> {
        let upstream = stream.slot.upstream().name.clone();
        match self.read(state, stream).await {
            Ok(buffered) => Ok(buffered),
            Err(failure) => {
                relay::report_crash(state, &self.job, failure, upstream).await;
                Err(Refusal::ran(failure.code(), failure.as_str()))
            }
        }
    }

    async fn read(&mut self, state: &State, stream: Stream) -> Result<Buffered, Failure> {
        let Stream {
            first,
            mut rest,
            slot: _slot,
        } = stream;
        let mut usage = bill::Usage::default();
        let mut events = vec![first];
        let mut size = 0;
        while let Some(last) = events.last().filter(|last| **last != Event::End) {
            usage.update(last);
            self.unbilled = Some(usage);
            size += last.encode().len();
            if size > MAX_BUFFERED {
                return Err(Failure::Malformed);
            }
            let time_left = execute::time_left(state, self.job.deadline());
            let next = tokio::time::timeout(time_left, rest.next()).await;
            events.push(next.map_err(|_elapsed| Failure::Stalled)??);
        }
        self.unbilled = Some(usage);
        Ok(Buffered { events, usage })
    }

    /// Returns the rater's verdict on the first response, or `None` if the response is an
    /// error or no verdict arrives in time.
    async fn verdict(&self, state: &State, outcome: &Outcome) -> Option<Verdict> {
        let text = match outcome {
            Outcome::Full(full) if full.status.is_success() => full.text(),
            Outcome::Buffered(buffered) => relay::text(&buffered.events),
            Outcome::Full(_) | Outcome::Stream(_) => return None,
        };
        let now = state.clock.now();
        state
            .ratings
            .record_answer(&self.job.entry.name, now.since(self.job.entry_start));
        let time_left = execute::time_left(state, self.job.deadline());
        let key = evidence_key(&self.job);
        let class = self.job.entry.class.clone();
        let prompt = self.prompt.clone();
        state
            .ratings
            .rate(key, class, prompt, text, time_left)
            .await
    }

    /// Makes `second` the current job and carries over what was charged so far.
    fn advance_to(&mut self, state: &State, second: Job, ran: Ran) {
        let mut prior_charges = std::mem::take(&mut self.job.prior_charges);
        let usage = self.unbilled.take();
        prior_charges.extend(usage.map(|usage| bill::charge(&self.job, usage, Kind::Step)));
        let previous = self.job.entry.name.clone();
        self.job = Job {
            prior_charges,
            previous_entry: Some(previous),
            previous_ran: ran,
            entry_start: state.clock.now(),
            ..second
        };
    }

    /// Whether the second entry may run after the first one was refused.
    ///
    /// A request that crashes upstreams must not reach another pool, and a failing pool must
    /// not double the load on another one, so this takes a retry from the budget.
    fn may_advance(&self, state: &State, refusal: &Refusal) -> bool {
        let now = state.clock.now();
        let crashes = refusal.code == Code::Quarantined;
        !crashes
            && now < self.job.deadline()
            && state.budget().try_take_retry(&self.job.entry.class, now)
    }
}

/// Key under which ratings of the job's response are counted.
pub fn evidence_key(job: &Job) -> evidence::Key {
    let after: Option<id::Entry> = job.previous_entry.clone();
    evidence::Key {
        entry: job.entry.name.clone(),
        organisation: job.organisation.clone(),
        after,
    }
}

/// Whether at least one of two runs took place.
const fn either_ran(first: Ran, second: Ran) -> Ran {
    match (first, second) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::No, Ran::No) => Ran::No,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
    }
}

impl FullResponse {
    /// Usage stated in the response, zero if there is none.
    pub fn usage(&self) -> bill::Usage {
        let body = serde_json::from_slice(&self.body).ok();
        let stated = body.as_ref().and_then(bill::Usage::from_json);
        stated.unwrap_or_default()
    }

    /// Text of a chat completion.
    pub fn text(&self) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let text = &body["choices"][0]["message"]["content"];
        text.as_str().unwrap_or_default().to_owned()
    }
}
