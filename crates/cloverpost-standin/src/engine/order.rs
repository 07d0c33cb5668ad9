//! Orders to load a version or to put it to sleep.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverpost_core::{catalogue, id};
use tokio::time;

use crate::engine::replica::{self, Replicas};
use crate::engine::{Options, Target};

/// State that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Loaded and ready for requests.
    Loaded,
    /// Not in memory.
    Sleeping,
}

/// Desired state of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DesiredState {
    /// The version.
    #[serde(flatten)]
    pub target: Target,
    /// Its desired state.
    pub state: State,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number of the lease under which the order is sent.
    pub fence: id::Fence,
    /// The version and its desired state.
    pub target: DesiredState,
}

/// Response to `GET /orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Highest fencing number of the accepted orders.
    pub fence: id::Fence,
    /// State of each version.
    pub targets: Vec<replica::Status>,
    /// Accepted orders, oldest first.
    pub taken: Vec<Order>,
}

/// Response to an order, and the error for one with an outdated fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FenceResponse {
    /// Fencing number of the accepted order, or the highest one if the order is rejected.
    pub fence: id::Fence,
}

/// Executes orders and records them.
#[derive(Debug)]
pub struct OrderProcessor {
    fencing: catalogue::Fencing,
    load_time: Duration,
    replicas: Arc<Replicas>,
    accepted: Mutex<Vec<Order>>,
}

impl OrderProcessor {
    /// Creates a processor without accepted orders.
    #[must_use]
    pub fn new(options: &Options, replicas: Arc<Replicas>) -> Self {
        Self {
            fencing: options.fencing,
            load_time: options.load_time,
            replicas,
            accepted: Mutex::default(),
        }
    }

    /// Executes an order. A load completes even if the returned future is dropped.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    pub async fn execute(self: &Arc<Self>, order: Order) -> Result<(), FenceResponse> {
        let number = self.accept(&order)?;
        if order.target.state == State::Sleeping {
            self.replicas
                .set(order.target.target, replica::State::Sleeping);
            return Ok(());
        }
        let target = order.target.target;
        self.replicas.set(target.clone(), replica::State::Loading);
        let processor = self.clone();
        let load = tokio::spawn(async move {
            time::sleep(processor.load_time).await;
            processor.complete_load(number, target);
        });
        // The task is cancelled only when the runtime shuts down.
        let _ = load.await;
        Ok(())
    }

    /// Returns the accepted orders and the state of each version.
    ///
    /// # Panics
    ///
    /// If the lock is poisoned.
    #[must_use]
    pub fn report(&self) -> Report {
        let accepted = self.accepted.lock().expect("order lock poisoned").clone();
        Report {
            fence: highest_fence(&accepted),
            targets: self.replicas.statuses(),
            taken: accepted,
        }
    }

    /// Records `order` and returns the number of accepted orders, including this one.
    fn accept(&self, order: &Order) -> Result<usize, FenceResponse> {
        let mut accepted = self.accepted.lock().expect("order lock poisoned");
        let fence = highest_fence(&accepted);
        if self.fencing == catalogue::Fencing::Checked && order.fence < fence {
            return Err(FenceResponse { fence });
        }
        accepted.push(order.clone());
        Ok(accepted.len())
    }

    /// Marks `target` loaded, unless an order after the first `number` ones concerns it.
    fn complete_load(&self, number: usize, target: Target) {
        let accepted = self.accepted.lock().expect("order lock poisoned");
        let later = &accepted[number..];
        if !later.iter().any(|order| order.target.target == target) {
            self.replicas.set(target, replica::State::Loaded);
        }
    }
}

fn highest_fence(orders: &[Order]) -> id::Fence {
    let fences = orders.iter().map(|order| order.fence);
    fences.max().unwrap_or_default()
}
