//! Drives the roll-outs that operators order.
//!
//! The state stands in a row of the store, which any VM moves on under the
//! condition that nobody else has: a VM that dies, freezes or is cut off leaves
//! nothing behind that another could not go on with.

use cloverpost_core::directory::{Image, Order, Progress, State, Version, View};
use cloverpost_core::{directory, exposure, id};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;

/// Answers of the new version without which it is not called good.
const LEAST_ANSWERS: u64 = 20;
/// Part of the time from which on a roll-out is completed with fewer answers.
const LAST_CALL: f64 = 0.93;

/// A write that moves a roll-out on.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The new state.
    pub progress: Progress,
    /// Version that the state's row must still have.
    pub expected: Version,
    /// Why, for the log.
    pub why: &'static str,
}

/// Whether any order still waits for its end.
pub fn are_open(image: &Image) -> bool {
    image.orders.rows.values().any(|order| {
        let progress = image.progress.rows.get(order.value.service.as_str());
        progress.is_none_or(|progress| {
            !progress.value.answers(&order.value, order.version)
                || progress.value.state == State::InProgress
        })
    })
}

/// The writes that are due now.
pub fn steps<C: Codec>(shared: &Shared<C>, image: &Image) -> Vec<Step> {
    let orders = image.orders.rows.values();
    orders
        .filter_map(|row| step(shared, image, &row.value, row.version))
        .collect()
}

fn step<C: Codec>(
    shared: &Shared<C>,
    image: &Image,
    order: &Order,
    version: Version,
) -> Option<Step> {
    let row = image.progress.rows.get(order.service.as_str());
    let expected = row.map_or(Version::default(), |row| row.version);
    let current = row
        .map(|row| &row.value)
        .filter(|progress| progress.answers(order, version));
    let Some(current) = current else {
        shared.evidence().reset(&order.service);
        return Some(Step {
            progress: begin(order, version, shared.store_now_ms()),
            expected,
            why: "ordered",
        });
    };
    if current.state != State::InProgress {
        return None;
    }
    let (state, why) = verdict(shared, order, current)?;
    let progress = Progress {
        state,
        ..current.clone()
    };
    Some(Step {
        progress,
        expected,
        why,
    })
}

fn begin(order: &Order, version: Version, now_ms: u64) -> Progress {
    Progress {
        service: order.service.clone(),
        target: order.target.clone(),
        state: State::InProgress,
        order: version,
        started_ms: now_ms,
    }
}

/// How a roll-out under way ends, if it does now.
fn verdict<C: Codec>(
    shared: &Shared<C>,
    order: &Order,
    current: &Progress,
) -> Option<(State, &'static str)> {
    if shared.evidence().is_worse(&order.service, &order.target) {
        return Some((State::Reverted, "the new version answers worse"));
    }
    let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
    let rollout = directory::Rollout {
        target: order.target.clone(),
        started_ms: current.started_ms,
        duration_ms,
    };
    let now_ms = shared.store_now_ms();
    let stage = exposure::stage(&rollout, now_ms, 0.0);
    if !stage.may_complete || !runs(&shared.view.load(), &order.service, &order.target) {
        return None;
    }
    let answers = shared
        .evidence()
        .of(&order.service, &order.target)
        .new
        .total();
    #[allow(clippy::cast_precision_loss)] // milliseconds of a roll-out are few
    let part = now_ms.saturating_sub(current.started_ms) as f64 / duration_ms.max(1) as f64;
    let is_seen = answers >= LEAST_ANSWERS || part >= LAST_CALL;
    is_seen.then_some((State::Completed, "the new version answers well"))
}

/// Whether upstreams of `service` run `version`.
fn runs(view: &View, service: &id::Pool, version: &id::Version) -> bool {
    let pool = view.pools.get(service);
    pool.is_some_and(|pool| pool.upstreams.iter().any(|one| one.version == *version))
}
