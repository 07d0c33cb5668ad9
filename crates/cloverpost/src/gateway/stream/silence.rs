//! Silence of the upstream that runs a stream.

use std::sync::Arc;

use cloverpost_core::dispatch::Failure;
use cloverpost_core::time;

use crate::gateway::Shared;
use crate::gateway::attempt;
use crate::gateway::codec::Codec;
use crate::gateway::job::Job;
use crate::gateway::slot::UpstreamSlot;

/// Watches for the silence of an upstream on all requests.
///
/// A host that lost power sends no reset, so silence is the only sign.
pub struct Silence<'a, C: Codec> {
    shared: &'a Arc<Shared<C>>,
    job: &'a Job,
    slot: &'a UpstreamSlot<C>,
    /// When the wait for the next part of the stream began.
    since: time::Moment,
    /// Whether the stream can be resumed elsewhere.
    may_resume: bool,
    /// What the run would end with, once its silence has been recorded.
    failure: Option<Failure>,
}

impl<'a, C: Codec> Silence<'a, C> {
    /// Watches the upstream of `slot`, which runs `job`, for the next part of its stream since `since`.
    pub const fn new(
        shared: &'a Arc<Shared<C>>,
        job: &'a Job,
        slot: &'a UpstreamSlot<C>,
        since: time::Moment,
        may_resume: bool,
    ) -> Self {
        Self {
            shared,
            job,
            slot,
            since,
            may_resume,
            failure: None,
        }
    }

    /// Completes while the upstream is silent; never if the stream cannot be resumed.
    pub async fn wait(&mut self) -> Failure {
        while self.may_resume && self.job.body.is_held() {
            let now = self.shared.clock.now();
            let upstream = &self.slot.upstream.id;
            let silence = self.shared.balancer().silence(upstream, self.since, now);
            if silence >= attempt::SILENCE_TIMEOUT {
                if self.failure.is_none() {
                    let record = attempt::record_silent(self.shared, self.slot, Failure::Stalled);
                    self.failure = Some(record.await);
                }
                return self.failure.unwrap_or(Failure::Stalled);
            }
            let rest = attempt::SILENCE_TIMEOUT.saturating_sub(silence);
            tokio::time::sleep(rest.max(attempt::MIN_POLL_INTERVAL)).await;
        }
        std::future::pending().await
    }
}
