//! Metrics of the responses that count as rollout evidence.

use cloverpost_core::exposure::{Outcome, Side};
use cloverpost_core::id;
use prometheus::{IntCounterVec, Opts, Registry};

/// Responses of both versions of a service during its rollouts.
#[derive(Clone, Debug)]
pub struct RolloutResponses {
    /// Responses, by service, version, outcome and attempt.
    responses: IntCounterVec,
}

impl RolloutResponses {
    /// Creates the metrics in `registry`.
    pub(super) fn register(registry: &Registry) -> Self {
        let responses = Opts::new(
            "rollout_responses_total",
            "responses that count as rollout evidence",
        );
        let labels = ["service", "version", "outcome", "attempt"];
        Self {
            responses: crate::metrics::register(registry, IntCounterVec::new(responses, &labels)),
        }
    }

    /// Counts a response of `service`.
    pub fn count(&self, service: &id::Pool, side: Side, outcome: Outcome, is_first_attempt: bool) {
        let version = match side {
            Side::Old => "old",
            Side::Trial | Side::Whole => "new",
        };
        let outcome = match outcome {
            Outcome::Good => "good",
            Outcome::Slow => "slow",
            Outcome::Failed => "failed",
            Outcome::Unanswered => "unanswered",
        };
        let attempt = if is_first_attempt { "first" } else { "further" };
        let labels = [service.as_str(), version, outcome, attempt];
        self.responses.with_label_values(&labels).inc();
    }
}
