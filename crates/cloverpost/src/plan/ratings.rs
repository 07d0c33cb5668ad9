//! Submission of answers to the rater.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverpost_core::{evidence, id, rollout};
use cloverpost_platform::rating::Verdict;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::plan::seed_sequence::SeedSequence;
use crate::plan::{Event, RatingRequest};

/// Capacity of the channel to the rating worker; further requests are dropped.
const REQUEST_CAPACITY: usize = 1_024;
/// Capacity of the channel to the planner; further events are dropped.
const EVENT_CAPACITY: usize = 4_096;
/// Maximum concurrent background ratings; further samples are dropped.
const MAX_SAMPLES: usize = 32;
/// Fraction of answers outside trials that are rated.
const SAMPLE_SHARE: f64 = 0.05;
/// Timeout of a call to the rater.
pub const RATER_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts answers from traffic threads; clones share the same channels.
///
/// Only [`Ratings::rate`] waits for the rater, and with a timeout, so that an
/// unavailable rater does not block complete answers.
#[derive(Clone, Debug)]
pub struct Ratings(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    requests: mpsc::Sender<RatingRequest>,
    events: mpsc::Sender<Event>,
    sample_permits: Arc<Semaphore>,
    seeds: SeedSequence,
    receivers: Mutex<Receivers>,
}

/// Receiving ends, until the rating worker and the planner take them.
#[derive(Debug)]
struct Receivers {
    requests: Option<mpsc::Receiver<RatingRequest>>,
    events: Option<mpsc::Receiver<Event>>,
}

impl Ratings {
    /// Uses `seed` to choose the answers to rate.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let (requests, request_receiver) = mpsc::channel(REQUEST_CAPACITY);
        let (events, event_receiver) = mpsc::channel(EVENT_CAPACITY);
        Self(Arc::new(Shared {
            requests,
            events,
            sample_permits: Arc::new(Semaphore::new(MAX_SAMPLES)),
            seeds: SeedSequence::new(seed),
            receivers: Mutex::new(Receivers {
                requests: Some(request_receiver),
                events: Some(event_receiver),
            }),
        }))
    }

    /// Receiver for the rating worker; `None` after the first call.
    #[must_use]
    pub fn take_requests(&self) -> Option<mpsc::Receiver<RatingRequest>> {
        self.0.receivers.lock().ok()?.requests.take()
    }

    /// Receiver for the planner; `None` after the first call.
    #[must_use]
    pub fn take_events(&self) -> Option<mpsc::Receiver<Event>> {
        self.0.receivers.lock().ok()?.events.take()
    }

    /// Sender of events to the planner.
    #[must_use]
    pub fn events(&self) -> mpsc::Sender<Event> {
        self.0.events.clone()
    }

    /// Returns a random generator for one request.
    #[must_use]
    pub fn rng(&self) -> SmallRng {
        self.0.seeds.next_rng()
    }

    /// Whether to rate an answer: always in a trial, otherwise for a random sample.
    #[must_use]
    pub fn should_rate(&self, trial: bool) -> bool {
        trial || self.rng().random_bool(SAMPLE_SHARE)
    }

    /// Reports that `entry` answered in `took`; dropped if the channel is full.
    pub fn record_answer(&self, entry: &id::Entry, took: Duration) {
        let entry = entry.clone();
        let _ = self.0.events.try_send(Event::Answered { entry, took });
    }

    /// Receives the counts of the peer `from`; dropped if the channel is full, as the
    /// peer resends them.
    pub fn receive(&self, from: id::Vm, digest: evidence::Digest) {
        let _ = self.0.events.try_send(Event::PeerCounts(from, digest));
    }

    /// Receives the halts of a peer; dropped if the channel is full, as the peer
    /// resends them.
    pub fn receive_halts(&self, halts: Vec<rollout::Halt>) {
        let _ = self.0.events.try_send(Event::PeerHalts(halts));
    }

    /// Submits an answer for rating in the background; dropped if the rater is behind.
    pub fn sample(&self, key: evidence::Key, class: id::Class, prompt: String, answer: String) {
        let Ok(permit) = Arc::clone(&self.0.sample_permits).try_acquire_owned() else {
            return;
        };
        // A full queue also means that the rater is behind.
        let _ = self.0.requests.try_send(RatingRequest {
            key,
            class,
            prompt,
            answer,
            reply: None,
            permit: Some(permit),
        });
    }

    /// Requests the verdict on an answer; `None` if it does not arrive within the
    /// shorter of `limit` and the timeout of the rater.
    pub async fn rate(
        &self,
        key: evidence::Key,
        class: id::Class,
        prompt: String,
        answer: String,
        limit: Duration,
    ) -> Option<Verdict> {
        let (reply, verdict) = oneshot::channel();
        let request = RatingRequest {
            key,
            class,
            prompt,
            answer,
            reply: Some(reply),
            permit: None,
        };
        self.0.requests.try_send(request).ok()?;
        let result = tokio::time::timeout(limit.min(RATER_TIMEOUT), verdict).await;
        result.ok()?.ok()
    }
}
