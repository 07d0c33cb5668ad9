//! Handles to running engines.

use std::ops::Deref;
use std::sync::Arc;

use crate::engine::load::Report;
use crate::engine::state::State;
use crate::engine::{Quality, order};
use crate::host::Controls;

/// Controls and state of an engine, shared by all clones.
#[derive(Clone, Debug)]
pub struct Handle {
    controls: Controls,
    state: Arc<State>,
}

impl Handle {
    pub(super) const fn new(controls: Controls, state: Arc<State>) -> Self {
        Self { controls, state }
    }

    /// Sets the share of bad answers of a version.
    pub fn set_quality(&self, quality: Quality) {
        self.state.sampler.set(quality);
    }

    /// Returns the accepted orders and the state of each version.
    #[must_use]
    pub fn orders(&self) -> order::Report {
        self.state.orders.report()
    }

    /// Returns the load report that callers receive.
    #[must_use]
    pub fn load(&self) -> Report {
        self.state.load.report()
    }

    /// Returns the current number of queued requests, without the lag of the report.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.queue.waiting()
    }
}

impl Deref for Handle {
    type Target = Controls;

    fn deref(&self) -> &Controls {
        &self.controls
    }
}
