//! Polls upstreams for their load.

use std::time::Duration;

use cloverpost_core::{choice, order};

use crate::front;
use crate::snapshot;

/// Path of the load report.
const PATH: &str = "/load";
/// Timeout of a poll.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Load report of an engine. Plain services do not report their load.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    targets: Vec<order::Status>,
}

impl Report {
    /// Whether the engine has versions and none of them is loaded.
    fn is_asleep(&self) -> bool {
        let loaded = |status: &order::Status| status.state == order::Condition::Loaded;
        !self.targets.is_empty() && !self.targets.iter().any(loaded)
    }
}

/// Polls `upstream` and records its report, if any.
pub async fn poll(front: front::State, upstream: snapshot::Upstream) {
    let own_requests = upstream.load.in_flight();
    let body = front.client.get(upstream.address, PATH, TIMEOUT).await;
    let report = body.and_then(|body| serde_json::from_slice::<Report>(&body).ok());
    if let Some(report) = report {
        let load = report.running.saturating_add(report.waiting);
        let received_at = front.clock.now();
        upstream.set_asleep(report.is_asleep());
        if report.leaving {
            upstream.set_draining();
        }
        upstream
            .load
            .record_report(choice::Report::new(load, own_requests, received_at));
    }
}
