//! Load reports.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time;

use crate::engine::queue::Queue;
use crate::engine::replica::{Replicas, Status};
use crate::host::{Controls, Phase};

/// Response to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Tokens generated per second since the previous report.
    pub tokens_per_second: f64,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// State of each version.
    pub targets: Vec<Status>,
}

/// Creates load reports and caches each for the configured lag.
#[derive(Debug)]
pub struct LoadReporter {
    lag: Duration,
    queue: Arc<Queue>,
    replicas: Arc<Replicas>,
    controls: Controls,
    tokens: AtomicU64,
    last: Mutex<Sample>,
}

#[derive(Debug)]
struct Sample {
    report: Report,
    tokens: u64,
    taken_at: time::Instant,
}

impl LoadReporter {
    pub(super) fn new(
        lag: Duration,
        queue: Arc<Queue>,
        replicas: Arc<Replicas>,
        controls: Controls,
    ) -> Self {
        let last = Sample {
            report: Report::default(),
            tokens: 0,
            taken_at: time::Instant::now(),
        };
        let reporter = Self {
            lag,
            queue,
            replicas,
            controls,
            tokens: AtomicU64::new(0),
            last: Mutex::new(last),
        };
        reporter.refresh();
        reporter
    }

    /// Adds to the number of generated tokens.
    pub fn add_tokens(&self, tokens: u64) {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Returns the cached report, or a new one if the lag is zero.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    #[must_use]
    pub fn report(&self) -> Report {
        if self.lag.is_zero() {
            self.refresh();
        }
        let last = self.last.lock().expect("report lock poisoned");
        last.report.clone()
    }

    /// Refreshes the cached report once per lag. Returns immediately if the lag is zero.
    pub(super) async fn run(&self) {
        if self.lag.is_zero() {
            return;
        }
        let mut ticks = time::interval_at(time::Instant::now() + self.lag, self.lag);
        loop {
            ticks.tick().await;
            self.refresh();
        }
    }

    fn refresh(&self) {
        let mut last = self.last.lock().expect("report lock poisoned");
        let tokens = self.tokens.load(Ordering::Relaxed);
        let now = time::Instant::now();
        let seconds = (now - last.taken_at).as_secs_f64();
        let report = Report {
            running: self.queue.running(),
            waiting: self.queue.waiting(),
            tokens_per_second: rate(tokens - last.tokens, seconds),
            leaving: self.controls.phase() != Phase::Serving,
            targets: self.replicas.statuses(),
        };
        *last = Sample {
            report,
            tokens,
            taken_at: now,
        };
    }
}

#[allow(clippy::cast_precision_loss)] // token counts stay far below 2^52
fn rate(tokens: u64, seconds: f64) -> f64 {
    if seconds > 0.0 {
        tokens as f64 / seconds
    } else {
        0.0
    }
}
