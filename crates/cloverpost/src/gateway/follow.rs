//! Follows the store's tables.

use std::time::Duration;

use cloverpost_core::directory::Page;
use ractor::ActorRef;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::gateway::command::Command;
use crate::gateway::metrics::Metrics;
use crate::gateway::store::{Error, Store, Topic};

/// First pause after a call that failed; doubled up to [`PAUSE_MOST`]. A VM that
/// starts while the store is away must serve within a second of its return.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a call that failed.
const PAUSE_MOST: Duration = Duration::from_millis(600);
/// Time after which a table is read whole although its feed runs. A feed that
/// silently skips a change would otherwise hide it for ever.
const WHOLE_EVERY: Duration = Duration::from_secs(20);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Time that the store may hold a call back until there is a change.
    wait: Duration,
    /// Pause after an answer, so that several changes come in one.
    pause: Duration,
}

/// Each call is paid for, and a table that changes all the time answers at once:
/// the pauses bound the calls. They are well within the two seconds in which
/// changes have to be in force and leaving upstreams left alone.
const fn pace(topic: Topic) -> Pace {
    let (wait, pause) = match topic {
        Topic::Operators => (2500, 150),
        Topic::Upstreams => (2500, 800),
        Topic::Progress => (2500, 300),
        Topic::Members => (20_000, 2000),
    };
    Pace {
        wait: Duration::from_millis(wait),
        pause: Duration::from_millis(pause),
    }
}

/// Follows `topic` for as long as it is polled, while `wanted` says so.
pub async fn run<S: Store>(
    store: S,
    topic: Topic,
    keeper: ActorRef<Command>,
    metrics: Metrics,
    mut wanted: watch::Receiver<bool>,
) {
    let mut after = None;
    let mut read = Instant::now();
    let mut pause = PAUSE;
    loop {
        if !*wanted.borrow() {
            // What it knew is old when it is wanted again.
            after = None;
        }
        if wanted.wait_for(|wanted| *wanted).await.is_err() {
            return;
        }
        if read.elapsed() > WHOLE_EVERY {
            after = None;
        }
        let started = Instant::now();
        let (result, whole) = match after {
            None => (store.read(topic).await, true),
            Some(version) => (store.follow(topic, version, pace(topic).wait).await, false),
        };
        count(&metrics, topic, &result, started);
        match result {
            Ok(page) => {
                after = Some(page.version);
                if whole {
                    read = Instant::now();
                }
                pause = PAUSE;
                let page = Box::new(page);
                tell(&keeper, Command::Learned { topic, page, whole });
                sleep(pace(topic).pause).await;
            }
            Err(Error::Forgotten) => {
                log::info!(topic = topic.as_str(); "the feed has dropped its history, reading the table whole");
                after = None;
            }
            Err(error) => {
                tell(&keeper, Command::Lost { topic, error });
                sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

fn count(metrics: &Metrics, topic: Topic, result: &Result<Page, Error>, started: Instant) {
    let name = match result {
        Ok(_) => "answered",
        Err(Error::Forgotten) => "forgotten",
        Err(Error::Conflict) => "conflict",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Lost(_)) => "lost",
        Err(Error::Garbled(_)) => "garbled",
    };
    metrics
        .store_calls
        .with_label_values(&[topic.as_str(), name])
        .inc();
    if result.is_ok() {
        metrics
            .store_seconds
            .observe(started.elapsed().as_secs_f64());
    }
}

fn tell(keeper: &ActorRef<Command>, command: Command) {
    // The keeper is gone only while the process ends.
    let _ = keeper.cast(command);
}
