//! Runs the hop benchmark.

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost_standin::engine;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::hop::{Comparison, Report};
use crate::site::{Error, Site, catalogue};

/// Connection counts.
const CONNECTIONS: [usize; 3] = [1, 16, 256];
/// Warm-up calls of each connection.
const WARM_UP_CALLS: usize = 2;
/// Concurrency of the engine, large enough that no request is queued.
const ENGINE_CONCURRENCY: usize = 1_024;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Options of the hop benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Calls per second over all connections.
    pub rate: u32,
    /// Calls at each connection count.
    pub requests: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: 200,
            requests: 2_000,
        }
    }
}

/// Measures direct and routed calls at each connection count.
pub async fn run(options: Options) -> Result<Report, Error> {
    let site = Site::start_with(1, fast_engine()).await?;
    let engine = site.engines[0].local_addr();
    let vm = site.caller_addrs()[0];
    let mut report = Report {
        rate: options.rate,
        failed: 0,
        comparisons: Vec::new(),
    };
    for connections in CONNECTIONS {
        let mut measure = async |target, model| {
            let (histogram, failed) = run_calls(options, connections, target, model).await;
            report.failed += failed;
            histogram
        };
        let direct = measure(engine, "brief@2").await;
        let routed = measure(vm, catalogue::LARGE).await;
        report.comparisons.push(Comparison {
            connections,
            direct,
            routed,
        });
    }
    site.close().await;
    Ok(report)
}

/// Returns options for an engine with as little latency as possible.
fn fast_engine() -> engine::Options {
    engine::Options {
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        concurrency: ENGINE_CONCURRENCY,
        ..engine::Options::default()
    }
}

async fn run_calls(
    options: Options,
    connections: usize,
    target: SocketAddr,
    model: &'static str,
) -> (Histogram<u64>, usize) {
    let gap = Duration::from_secs(1) / options.rate;
    let start = Instant::now() + gap;
    let tasks: Vec<_> = (0..connections)
        .map(|connection| {
            let due = (connection..options.requests)
                .step_by(connections)
                .map(move |index| start + gap * u32::try_from(index).unwrap_or(u32::MAX));
            tokio::spawn(run_connection(target, model, due.collect()))
        })
        .collect();
    let mut all = Histogram::new(SIGNIFICANT_DIGITS).expect("digits should be within 0 to 5");
    let mut failed = 0;
    for task in tasks {
        match task.await {
            Ok((histogram, count)) => {
                all.add(&histogram).expect("histogram should resize");
                failed += count;
            }
            Err(_) => failed += 1,
        }
    }
    (all, failed)
}

async fn run_connection(
    target: SocketAddr,
    model: &'static str,
    due: Vec<Instant>,
) -> (Histogram<u64>, usize) {
    let caller = Caller::new(catalogue::HARROWGATE_KEY);
    let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("digits should be within 0 to 5");
    let mut failed = 0;
    for _ in 0..WARM_UP_CALLS {
        let _ = caller.chat(target, model, "warm up", false, None).await;
    }
    for due in due {
        tokio::time::sleep_until(due).await;
        let reply = caller.chat(target, model, "hop", false, None).await;
        if !reply.is_ok_and(|reply| reply.is_success()) {
            failed += 1;
        }
        let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).expect("histogram should resize");
    }
    (histogram, failed)
}
