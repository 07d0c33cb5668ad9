//! Reconciles an engine with its goals.

use std::time::Duration;

use cloverpost_core::{catalogue, id, order};
use cloverpost_platform::table;
use tokio::time::Instant;

use crate::lease::Lease;
use crate::lease::order::{Engine, Response, deadline};

/// Settings of [`Lease::reconcile`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// States to reach.
    pub goals: Vec<order::Goal>,
    /// Whether the engine checks fencing tokens.
    pub fencing: catalogue::Fencing,
    /// Timeouts and delays of orders.
    pub order: order::Options,
    /// Maximum time to keep trying.
    pub timeout: Duration,
}

/// Result of a reconciliation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine's state matched when it was last read.
    Reached,
    /// The state did not match within the time limit.
    TimedOut,
    /// The remaining lease time is too short; renew the lease first.
    LeaseTooShort,
    /// The engine has accepted this newer fencing token; the lease is lost.
    Superseded(id::Fence),
}

impl<T: table::Table> Lease<T> {
    /// Reads the state of `engine` and sends orders until it matches.
    ///
    /// Repeat it periodically even after the state matched: a delayed order of an earlier
    /// holder may still change the state.
    pub async fn reconcile<E: Engine>(&self, engine: &E, options: &Options) -> Outcome {
        let deadline = self.clock.now() + options.timeout;
        loop {
            let wait = match self.step(engine, options).await {
                Ok(wait) => wait,
                Err(outcome) => return outcome,
            };
            if self.clock.now() + wait > deadline {
                return Outcome::TimedOut;
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Reads the state and sends at most one order. Returns the delay before the next
    /// step, or the outcome as the error.
    async fn step<E: Engine>(&self, engine: &E, options: &Options) -> Result<Duration, Outcome> {
        let timeout = options.order.timeout;
        let Ok(Ok(report)) = tokio::time::timeout(timeout, engine.read()).await else {
            return Ok(options.order.retry_delay);
        };
        // Computed before the decision, so that a pause of the process after it does not
        // extend the deadline.
        let deadline = Instant::now() + timeout;
        match self.decide(&report, options) {
            order::reconcile::Step::Reached => Err(Outcome::Reached),
            order::reconcile::Step::LeaseTooShort => Err(Outcome::LeaseTooShort),
            order::reconcile::Step::Wait(wait) => Ok(wait),
            order::reconcile::Step::Superseded(newer) => Err(self.superseded_by(newer)),
            order::reconcile::Step::Send(order) => {
                match deadline::before(deadline, engine.send(&order)).await {
                    Some(Ok(Response::Stale(newer))) => Err(self.superseded_by(newer)),
                    Some(Ok(Response::Accepted)) => Ok(Duration::ZERO),
                    Some(Err(_)) | None => Ok(options.order.retry_delay),
                }
            }
        }
    }

    fn decide(&self, report: &order::Report, options: &Options) -> order::reconcile::Step {
        order::reconcile(
            &options.goals,
            report,
            options.fencing,
            &self.state(),
            options.order,
            self.clock.now(),
        )
    }

    fn superseded_by(&self, newer: id::Fence) -> Outcome {
        self.state().superseded_by(newer);
        Outcome::Superseded(newer)
    }
}
