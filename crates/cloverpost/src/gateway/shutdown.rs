//! Requests while the VM shuts down.
//!
//! From the signal on, the VM knows when its service ends. A request that would not be answered by then is
//! refused as not run, also while it waits for its body or for room; one that runs is answered at the
//! end.

use std::time::Duration;

use cloverpost_core::refusal::{Code, Refusal};
use cloverpost_core::shutdown::End;
use cloverpost_core::{directory, time};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway::Shared;
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;

/// Watches for the end of the VM's service.
pub type Watch = watch::Receiver<Option<End>>;

/// The end of the VM's service, once the VM shuts down.
pub fn end<C: Codec>(shared: &Shared<C>) -> Option<End> {
    *shared.end.borrow()
}

/// Whether a request of `route` with a `deadline` may be begun now.
pub fn admits<C: Codec>(
    shared: &Shared<C>,
    route: &directory::Route,
    deadline: time::Moment,
) -> bool {
    end(shared).is_none_or(|end| {
        let duration = usual_duration(shared, route);
        end.admits(shared.clock.now(), duration, deadline)
    })
}

/// Completes when a request of `route` with a `deadline` can no longer be begun.
pub async fn too_late<C: Codec>(
    shared: &Shared<C>,
    route: &directory::Route,
    deadline: time::Moment,
) {
    let end = wait_for_signal(&mut shared.end.subscribe()).await;
    let duration = usual_duration(shared, route);
    match end.time_to_begin(shared.clock.now(), duration, deadline) {
        Some(wait) => sleep(wait).await,
        None => std::future::pending().await,
    }
}

/// Completes at the end of the VM's service.
pub async fn ended<C: Codec>(shared: &Shared<C>, watch: &mut Watch) {
    let end = wait_for_signal(watch).await;
    sleep(end.left(shared.clock.now())).await;
}

/// The moment until which `job` may run: its deadline, or the end of the VM's service.
pub fn deadline<C: Codec>(shared: &Shared<C>, job: &Job) -> time::Moment {
    let end = end(shared).map(End::moment);
    end.map_or(job.deadline, |end| end.min(job.deadline))
}

/// The refusal of a request that is not begun.
pub fn refusal() -> Refusal {
    Refusal::not_run(Code::Stopping, "the VM stops before the request would end")
}

/// The refusal of `job` at the end of the VM's service.
pub fn refusal_at_end(job: &Job) -> Refusal {
    if job.runs.may_have_run() {
        Refusal::uncertain(Code::TimedOut, "the VM stops before the response")
    } else {
        refusal()
    }
}

async fn wait_for_signal(watch: &mut Watch) -> End {
    let end = watch.wait_for(Option::is_some).await.ok();
    match end.and_then(|end| *end) {
        Some(end) => end,
        // The sender is part of the shared state, so it outlives this receiver.
        None => std::future::pending().await,
    }
}

/// Share of requests that are begun and cut, of those that can be sent again. Their callers go on
/// elsewhere after the events that they have, as they would after a refusal.
const CUT_REPEATABLE: f64 = 0.25;
/// The same of those that cannot: their callers do not learn whether they ran.
const CUT_AT_MOST_ONCE: f64 = 0.01;

/// Time within which a request of `route` is expected to end, but for the share that may be cut. Until one
/// has ended, its target latency stands for it.
fn usual_duration<C: Codec>(shared: &Shared<C>, route: &directory::Route) -> Duration {
    let cut = if route.kind.is_idempotent() {
        CUT_REPEATABLE
    } else {
        CUT_AT_MOST_ONCE
    };
    let estimate = shared.durations().upper_estimate(&route.name, cut);
    estimate.unwrap_or(route.target_latency)
}
