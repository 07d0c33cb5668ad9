//! Requests that arrive before the first configuration.
//!
//! [`startup::Queue`] decides which of them wait. A request waits in its own task, for whichever comes
//! first of the configuration, the end of its wait, a request that displaces it, and a stop of the VM.

use std::collections::HashMap;
use std::time::Duration;

use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_core::startup::{self, Admission, Outcome, Reason, Request, Ticket};
use cloverpost_core::time;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::gateway::Shared;
use crate::gateway::codec::{Codec, RequestHead};
use crate::gateway::response;
use crate::gateway::shared::Phase;

/// The waiting requests and the signals that end their waits.
#[derive(Debug)]
pub struct Waiters {
    queue: startup::Queue,
    displaced: HashMap<Ticket, oneshot::Sender<()>>,
}

impl Waiters {
    /// Creates an empty queue of `capacity`.
    pub fn new(capacity: startup::Capacity) -> Self {
        Self {
            queue: startup::Queue::new(capacity),
            displaced: HashMap::new(),
        }
    }
}

/// Waits until requests can be routed, as long as the request may wait for that.
///
/// Returns an error if the request is to be refused. A request whose wait is over is not refused if
/// the configuration is known and only upstreams are missing: routing finds the reason.
pub async fn wait_until_routable<C: Codec>(
    shared: &Shared<C>,
    head: &RequestHead,
    request: &Request,
) -> Result<(), Refusal> {
    if *shared.is_routable.borrow() {
        return Ok(());
    }
    let arrived = shared.clock.now();
    let outcome = match enter(shared, request, arrived) {
        Ok((wait, is_displaced)) => wait.run(is_displaced).await,
        Err(reason) => {
            count(shared, Outcome::Refused(reason));
            Outcome::Refused(reason)
        }
    };
    let waited = shared.clock.now().since(arrived);
    let waited_ms = response::millis(waited);
    let Outcome::Refused(reason) = outcome else {
        log::info!(id = head.id.as_str(), waited_ms; "request waited for the first configuration");
        return Ok(());
    };
    if shared.view.load().index.is_some() {
        return Ok(());
    }
    let time_left = request.time().map(|time| time.saturating_sub(waited));
    let retry_after = startup::retry_after(time_left, rand::random());
    let waiting = shared.metrics.startup.waiting.get();
    let left_ms = time_left.map_or_else(String::new, |left| response::millis(left).to_string());
    log::info!(
        id = head.id.as_str(), reason = reason.as_str(), waited_ms, left_ms, waiting,
        retry_after_ms = response::millis(retry_after);
        "request is refused before the first configuration"
    );
    Err(Refusal {
        retry_after: Some(retry_after),
        ..Refusal::not_run(Code::Unconfirmed, reason.message())
    })
}

/// Records that requests can be routed, and assigns waiting requests the times of their release.
pub fn open<C: Codec>(shared: &Shared<C>) {
    let mut waiters = shared.startup();
    waiters.queue.open(shared.clock.now());
    log_summary(&mut waiters);
}

/// Decides whether `request` waits. The returned receiver is closed when another request displaces it.
fn enter<'a, C: Codec>(
    shared: &'a Shared<C>,
    request: &Request,
    now: time::Moment,
) -> Result<(Wait<'a, C>, oneshot::Receiver<()>), Reason> {
    let mut waiters = shared.startup();
    let (ticket, until, displaced) = match waiters.queue.admit(request, now) {
        Admission::Wait {
            ticket,
            until,
            displaced,
        } => (ticket, until, displaced),
        Admission::Refuse(reason) => return Err(reason),
    };
    for ticket in displaced {
        // The signal is dropped, which ends the wait.
        waiters.displaced.remove(&ticket);
    }
    let (signal, is_displaced) = oneshot::channel();
    waiters.displaced.insert(ticket, signal);
    set_waiting(shared, &waiters);
    if waiters.queue.summary().waited == 1 {
        log::info!(
            age_ms = response::millis(now.since_start()), capacity:% = waiters.queue.capacity();
            "requests wait for the first configuration"
        );
    }
    let wait = Wait {
        shared,
        ticket,
        until,
        outcome: Outcome::Left,
    };
    Ok((wait, is_displaced))
}

fn set_waiting<C: Codec>(shared: &Shared<C>, waiters: &Waiters) {
    let waiting = i64::try_from(waiters.queue.len()).unwrap_or(i64::MAX);
    shared.metrics.startup.waiting.set(waiting);
}

fn count<C: Codec>(shared: &Shared<C>, outcome: Outcome) {
    if let Some(result) = outcome.result() {
        let requests = &shared.metrics.startup.requests;
        requests.with_label_values(&[result]).inc();
    }
}

fn log_summary(waiters: &mut Waiters) {
    if let Some(summary) = waiters.queue.take_summary() {
        log::info!(
            waited = summary.waited, released = summary.released, expired = summary.expired,
            refused = summary.refused, left = summary.left,
            longest_ms = response::millis(summary.longest);
            "no request waits for the first configuration any more"
        );
    }
}

/// A request that waits. Dropped before its end when the caller disconnects.
struct Wait<'a, C: Codec> {
    shared: &'a Shared<C>,
    ticket: Ticket,
    until: time::Moment,
    outcome: Outcome,
}

impl<C: Codec> Wait<'_, C> {
    async fn run(mut self, is_displaced: oneshot::Receiver<()>) -> Outcome {
        let shared = self.shared;
        let mut is_routable = shared.is_routable.subscribe();
        let left = self.time_until(self.until);
        // The watch senders are part of the shared state, so they outlive the receivers.
        self.outcome = tokio::select! {
            biased;
            _ = is_routable.wait_for(|is| *is) => Outcome::Released,
            _ = is_displaced => Outcome::Refused(Reason::Full),
            () = self.stop() => Outcome::Refused(Reason::Stopping),
            () = sleep(left) => Outcome::Refused(Reason::Expired),
        };
        if self.outcome == Outcome::Released {
            let release = shared.startup().queue.release_time(self.ticket);
            sleep(release.map_or(Duration::ZERO, |release| self.time_until(release))).await;
        }
        self.outcome
    }

    /// Waits until the VM stops and its process is no longer within the grace of its start.
    async fn stop(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase >= Phase::Leaving).await;
        sleep(self.time_until(startup::GRACE)).await;
    }

    fn time_until(&self, moment: time::Moment) -> Duration {
        moment.since(self.shared.clock.now())
    }
}

impl<C: Codec> Drop for Wait<'_, C> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut waiters = self.shared.startup();
        waiters.displaced.remove(&self.ticket);
        waiters.queue.end(self.ticket, self.outcome, now);
        set_waiting(self.shared, &waiters);
        log_summary(&mut waiters);
        drop(waiters);
        count(self.shared, self.outcome);
    }
}
