//! Drives the rollouts ordered by operators.
//!
//! The state is a row of the store that any VM advances by conditional writes, so another VM can
//! continue if one fails.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverpost_core::directory::{Era, Image, Member, Order, Progress, State, Version, View};
use cloverpost_core::exposure::Regression;
use cloverpost_core::{directory, exposure, id};

use crate::gateway::Shared;
use crate::gateway::codec::Codec;

/// Minimum number of responses of the new version before the rollout completes, unless its deadline
/// is near.
const MIN_RESPONSES: u64 = 20;

/// A conditional write that advances a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The new state.
    pub progress: Progress,
    /// Expected version of the state's row.
    pub expected: Version,
    /// The store's era that the copy of the row is from.
    pub era: Era,
    /// How long the step is deferred to other VMs once due.
    pub delay: Duration,
    /// The reason, for the log.
    pub reason: &'static str,
    /// The evidence, for the log.
    pub evidence: String,
}

/// Returns whether any ordered rollout has not finished, or the store may not have its state.
pub fn any_open(image: &Image) -> bool {
    if image.has_outdated_progress() || !image.progress.overruled.is_empty() {
        return true;
    }
    image.orders.rows.values().any(|order| {
        let progress = image.progress.rows.get(order.value.service.as_str());
        progress.is_none_or(|progress| {
            !progress.value.belongs_to(&order.value, order.version)
                || progress.value.state == State::InProgress
        })
    })
}

/// Returns the writes that are due; `order_age` is the assumed age of a new order.
pub fn due_steps<C: Codec>(
    shared: &Shared<C>,
    image: &Image,
    own: &Member,
    order_age: Duration,
) -> Vec<Step> {
    let orders = image.orders.rows.values();
    orders
        .filter_map(|row| due_step(shared, image, own, &row.value, row.version, order_age))
        .collect()
}

fn due_step<C: Codec>(
    shared: &Shared<C>,
    image: &Image,
    own: &Member,
    order: &Order,
    version: Version,
    order_age: Duration,
) -> Option<Step> {
    if image.has_outdated_progress() {
        // The store may have lost the row that a write would be based on.
        return None;
    }
    let service = order.service.as_str();
    let row = image.progress.rows.get(service);
    let expected = image.progress.stored_version(service);
    let era = image.orders.version.era();
    let current = row
        .map(|row| &row.value)
        .filter(|progress| progress.belongs_to(order, version));
    let vms = || image.members.rows.values().map(|row| &row.value);
    let Some(current) = current else {
        return Some(Step {
            progress: initial_progress(image, order, version, shared.store_now_ms(), order_age),
            expected,
            era,
            delay: exposure::write_delay(&order.service, vms(), own),
            reason: "ordered",
            evidence: String::new(),
        });
    };
    let decided = match current.state {
        State::InProgress => final_state(shared, image, order, current),
        State::Completed | State::Reverted => None,
    };
    let Some((state, reason)) = decided else {
        let is_lost = image.progress.overruled.contains_key(service);
        return is_lost.then(|| Step {
            progress: current.clone(),
            expected,
            era,
            delay: exposure::write_delay(&order.service, vms(), own),
            reason: "the store has lost this state",
            evidence: String::new(),
        });
    };
    let progress = Progress {
        state,
        ..current.clone()
    };
    Some(Step {
        progress,
        expected,
        era,
        // Reverting is urgent, and only aggregators, which hold the evidence, do it.
        delay: if state == State::Reverted {
            Duration::ZERO
        } else {
            exposure::completion_delay(&order.service, vms(), own)
        },
        reason,
        evidence: shared.evidence().summary(&order.service, current.rollout),
    })
}

fn initial_progress(
    image: &Image,
    order: &Order,
    version: Version,
    now_ms: u64,
    order_age: Duration,
) -> Progress {
    let age_ms = u64::try_from(order_age.as_millis()).unwrap_or(u64::MAX);
    Progress {
        service: order.service.clone(),
        target: order.target.clone(),
        state: State::InProgress,
        base: directory::base(image, order),
        order: version,
        rollout: version,
        started_ms: now_ms,
        ordered_ms: now_ms.saturating_sub(age_ms),
    }
}

impl Step {
    /// Returns the step after deferral. The duration of a rollout counts from its order, so the
    /// deferral is subtracted from the order time.
    pub fn deferred_by(mut self, deferred_for: Duration) -> Self {
        if self.progress.state == State::InProgress {
            let deferred_ms = u64::try_from(deferred_for.as_millis()).unwrap_or(u64::MAX);
            let progress = &mut self.progress;
            progress.ordered_ms = progress.ordered_ms.saturating_sub(deferred_ms);
        }
        self
    }
}

/// Returns the final state of a rollout in progress, with the reason, if it can be decided now.
fn final_state<C: Codec>(
    shared: &Shared<C>,
    image: &Image,
    order: &Order,
    current: &Progress,
) -> Option<(State, &'static str)> {
    let is_aggregator = is_aggregator(shared, image, &order.service);
    let regression = is_aggregator.then(|| {
        let mut evidence = shared.evidence();
        evidence.check_regression(&order.service, current.rollout)
    });
    match regression.flatten() {
        Some(Regression::Failures) => {
            return Some((State::Reverted, "the new version fails more often"));
        }
        Some(Regression::Responses) => {
            return Some((State::Reverted, "the new version answers worse"));
        }
        Some(Regression::Pace) => {
            return Some((State::Reverted, "the new version's streams are slower"));
        }
        None => {}
    }
    let rollout = directory::Rollout {
        order: current.rollout,
        base: current.base.clone(),
        target: order.target.clone(),
        started_ms: current.started_ms,
        ordered_ms: current.ordered_ms,
        duration_ms: u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
    };
    let stage = shared.stage(&rollout);
    if !stage.may_complete() || !has_version(&shared.view.load(), &order.service, &order.target) {
        return None;
    }
    let vms = shared.fleet().vms();
    let evidence = shared.evidence();
    let responses = evidence.new_version_responses(&order.service, current.rollout);
    if responses < MIN_RESPONSES && !stage.is_near_deadline {
        None
    } else if evidence.is_as_good(&order.service, current.rollout, vms) {
        Some((State::Completed, "the new version is as good"))
    } else if is_aggregator && stage.is_near_deadline {
        Some((
            State::Reverted,
            "the evidence does not show that the new version is as good",
        ))
    } else {
        None
    }
}

/// Returns whether this VM aggregates the evidence on rollouts of `service`. If every VM
/// decided on its local evidence, the rate of false halts would increase.
fn is_aggregator<C: Codec>(shared: &Shared<C>, image: &Image, service: &id::Pool) -> bool {
    aggregators(image, service).contains(&&shared.settings.load().vm)
}

/// Returns the VMs that aggregate the evidence on `service`.
pub fn aggregators<'a>(image: &'a Image, service: &id::Pool) -> Vec<&'a id::Vm> {
    let members = image.members.rows.values().map(|row| &row.value);
    exposure::aggregators(service, members)
}

/// Returns the rollouts in progress.
pub fn in_progress(image: &Image) -> BTreeSet<(id::Pool, Version)> {
    let orders = image.orders.rows.values();
    let open = orders.filter_map(|row| {
        let progress = image.progress.rows.get(row.value.service.as_str());
        let progress = progress.map(|progress| &progress.value)?;
        let is_open =
            progress.belongs_to(&row.value, row.version) && progress.state == State::InProgress;
        is_open.then(|| (row.value.service.clone(), progress.rollout))
    });
    open.collect()
}

/// Returns whether any upstream of `service` runs `version`.
fn has_version(view: &View, service: &id::Pool, version: &id::Version) -> bool {
    let pool = view.pools.get(service);
    pool.is_some_and(|pool| {
        pool.upstreams
            .iter()
            .any(|upstream| upstream.version == *version)
    })
}
