//! Follows the store's tables through their change feeds.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use cloverpost_core::directory::{Era, Page, Version};
use futures_util::FutureExt;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::gateway::breaker::Breaker;
use crate::gateway::command::Command;
use crate::gateway::metrics::Metrics;
use crate::gateway::store::{Error, Store, Topic};

/// Time reserved for propagating the removal of an upstream to the other VMs, out of the drain
/// limit.
const PROPAGATION_MS: u64 = 1400;
/// Minimum pause between reads of the upstreams.
const MIN_PAUSE_MS: u64 = 800;
/// Maximum pause between reads of the upstreams. A removal takes longer to reach all VMs of a large
/// zone: with a pause of 3.6 s, it was in force after 5.4 of 5.0 s at 100 VMs a zone.
const MAX_PAUSE_MS: u64 = 2800;

/// Delay of the first read of a large table while the breaker is half open. The probe is then the
/// read of a small table, after which a VM that takes over sends heartbeats; until it does, further
/// VMs take over.
const LARGE_TABLE_DELAY: Duration = Duration::from_millis(50);

/// Polling parameters of a topic.
#[derive(Clone, Copy, Debug)]
struct Timing {
    /// Long-poll timeout.
    wait: Duration,
    /// Pause after a response, to batch changes.
    pause: Duration,
    /// Interval of full reads, which recover changes that the feed skipped.
    full_read_interval: Duration,
}

/// Returns the polling parameters of `topic`.
///
/// Calls are billed, so pauses limit their rate while keeping changes within their two-second
/// limit. Upstreams are polled less often if `leave` permits. Tables that grow with the site are
/// fully read less often, since with 3,000 upstreams the bytes of full reads cost more than
/// anything else.
fn timing(topic: Topic, leave: Duration) -> Timing {
    let leave_ms = u64::try_from(leave.as_millis()).unwrap_or(u64::MAX);
    let (wait, pause, full_read_s) = match topic {
        Topic::Operators => (2500, 150, 20),
        Topic::Upstreams => (
            2500,
            leave_ms
                .saturating_sub(PROPAGATION_MS)
                .clamp(MIN_PAUSE_MS, MAX_PAUSE_MS),
            60,
        ),
        Topic::Progress => (2500, 300, 20),
        Topic::Members => (20_000, 1000, 60),
    };
    Timing {
        wait: Duration::from_millis(wait),
        pause: Duration::from_millis(pause),
        full_read_interval: Duration::from_secs(full_read_s),
    }
}

/// Follows one topic of the store.
pub struct Follower<S> {
    /// The store.
    pub store: S,
    /// The followed topic.
    pub topic: Topic,
    /// Receives the updates.
    pub controller: ActorRef<Command>,
    /// Metrics of store calls.
    pub metrics: Metrics,
    /// Limits calls to an unavailable store.
    pub breaker: Breaker,
    /// Time within which a leaving upstream must stop receiving new requests.
    pub leave: Duration,
    /// The latest era of the store that this VM knows of.
    pub era: watch::Receiver<Era>,
}

/// Progress of following a topic.
#[derive(Debug)]
enum Cursor {
    /// Reading the whole table; contains the pages read so far.
    Loading(Option<(Page, String)>),
    /// Following changes after a version; contains the time of the last full read.
    Following(Version, Instant),
}

impl<S: Store> Follower<S> {
    /// Follows the topic while `wanted` is true.
    pub async fn run(self, mut wanted: watch::Receiver<bool>) {
        let mut cursor = Cursor::Loading(None);
        loop {
            if !*wanted.borrow() {
                // The state is outdated once following resumes.
                cursor = Cursor::Loading(None);
            }
            if wanted.wait_for(|wanted| *wanted).await.is_err() {
                return;
            }
            cursor = match cursor {
                Cursor::Following(version, last_read)
                    if last_read.elapsed() < timing(self.topic, self.leave).full_read_interval =>
                {
                    self.poll_changes(version, last_read).await
                }
                Cursor::Following(..) => self.load(None).await,
                Cursor::Loading(loaded) => self.load(loaded).await,
            };
        }
    }

    /// Long-polls for changes after `version`.
    async fn poll_changes(&self, version: Version, last_read: Instant) -> Cursor {
        if version.era() < *self.era.borrow() {
            return Cursor::Loading(None);
        }
        let permit = self.breaker.acquire().await;
        let started = Instant::now();
        let wait = permit.long_poll_timeout(timing(self.topic, self.leave).wait);
        let mut era = self.era.clone();
        let result = tokio::select! {
            result = catch_panic(self.store.follow(self.topic, version, wait)) => result,
            // The store may leave this call unanswered until its wait is over.
            Ok(_) = era.wait_for(|era| *era > version.era()) => {
                log::info!(topic = self.topic.as_str(), version:%; "the store came back from a copy; reading the whole table");
                return Cursor::Loading(None);
            }
        };
        self.record_call(result.as_ref().err(), started);
        permit.record(matches!(result, Ok(_) | Err(Error::HistoryUnavailable)));
        match result {
            Ok(page) => {
                let next = page.version;
                self.send_page(page, false);
                if next.era() > version.era() {
                    // The feed went on in another history.
                    return Cursor::Loading(None);
                }
                self.pause(next.era()).await;
                // A late response may be from before the store came back from a copy.
                Cursor::Following(next.max(version), last_read)
            }
            Err(Error::HistoryUnavailable) => {
                log::info!(topic = self.topic.as_str(); "change feed no longer has the requested version; reading the whole table");
                Cursor::Loading(None)
            }
            Err(error) => {
                self.report_failure(error);
                Cursor::Following(version, last_read)
            }
        }
    }

    /// Reads the next page of the table.
    ///
    /// A failed page is retried without discarding earlier ones, so that a large table can be read
    /// despite occasional failures.
    async fn load(&self, loaded: Option<(Page, String)>) -> Cursor {
        let is_large = matches!(self.topic, Topic::Operators | Topic::Upstreams);
        if is_large && loaded.is_none() && self.breaker.is_half_open() {
            sleep(LARGE_TABLE_DELAY).await;
        }
        let permit = self.breaker.acquire().await;
        let started = Instant::now();
        let after = loaded.as_ref().map(|(_, after)| after.as_str());
        let result = catch_panic(self.store.read(self.topic, after)).await;
        self.record_call(result.as_ref().err(), started);
        permit.record(result.is_ok());
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                self.report_failure(error);
                return Cursor::Loading(loaded);
            }
        };
        let page = match loaded {
            None => read.page,
            Some((page, _)) if page.version.era() != read.page.version.era() => {
                // The store came back from a copy between the two pages.
                return Cursor::Loading(None);
            }
            Some((mut page, _)) => {
                page.join(read.page);
                page
            }
        };
        if let Some(after) = read.next_after {
            return Cursor::Loading(Some((page, after)));
        }
        let version = page.version;
        self.send_page(page, true);
        self.pause(version.era()).await;
        if version.era() < *self.era.borrow() {
            return Cursor::Loading(None);
        }
        Cursor::Following(version, Instant::now())
    }

    fn send_page(&self, page: Page, is_full: bool) {
        let topic = self.topic;
        let page = Box::new(page);
        self.send(Command::PageRead {
            topic,
            page,
            is_full,
        });
    }

    /// Waits to batch changes after a page of the era `read`, but not if the store comes back from a
    /// copy meanwhile.
    async fn pause(&self, read: Era) {
        let mut era = self.era.clone();
        let known = read.max(*era.borrow());
        tokio::select! {
            () = sleep(timing(self.topic, self.leave).pause) => {}
            Ok(_) = era.wait_for(|era| *era > known) => {}
        }
    }

    fn report_failure(&self, error: Error) {
        let topic = self.topic;
        self.send(Command::StoreFailed { topic, error });
    }

    fn send(&self, command: Command) {
        // The send fails only during process shutdown.
        let _ = self.controller.cast(command);
    }

    fn record_call(&self, error: Option<&Error>, started: Instant) {
        let name = match error {
            None => "answered",
            Some(Error::HistoryUnavailable) => "forgotten",
            Some(Error::Conflict) => "conflict",
            Some(Error::Rejected(_)) => "refused",
            Some(Error::NoResponse(_)) => "lost",
            Some(Error::Malformed(_)) => "garbled",
        };
        let calls = &self.metrics.store_calls;
        calls.with_label_values(&[self.topic.as_str(), name]).inc();
        if error.is_none() {
            let took = started.elapsed();
            self.metrics.store_seconds.observe(took.as_secs_f64());
        }
    }
}

/// Completes `call`. A response that the client cannot handle counts as malformed: a panic would end
/// the follower, and this VM would tell its peers that it is up to date without hearing of changes.
async fn catch_panic<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let result = AssertUnwindSafe(call).catch_unwind().await;
    result.unwrap_or_else(|_panic| Err(Error::Malformed("the client panicked".to_owned())))
}
