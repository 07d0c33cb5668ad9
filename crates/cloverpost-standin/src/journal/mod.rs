//! Journal of the requests that a stand-in ran.
//!
//! Tests compare it with the responses that callers received. A run is therefore recorded before its
//! first effect and closed after its last.

mod run;
mod run_guard;
mod state;

use std::sync::Arc;

use tokio::sync::watch;

pub use run::Run;
pub use run_guard::RunGuard;
pub use state::State;

/// Runs of a stand-in in the order of their start, shared by all clones.
#[derive(Clone, Debug)]
pub struct Journal {
    runs: Arc<watch::Sender<Vec<Run>>>,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            runs: Arc::new(watch::Sender::new(Vec::new())),
        }
    }
}

impl Journal {
    /// Records a run. Dropping the guard while the run is open marks it cancelled.
    #[must_use]
    pub fn start(&self, run: Run) -> RunGuard {
        let mut index = 0;
        self.runs.send_modify(|runs| {
            index = runs.len();
            runs.push(run);
        });
        RunGuard::new(self.clone(), index)
    }

    /// Returns all runs.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.borrow().clone()
    }

    /// Returns the number of runs in `state`.
    #[must_use]
    pub fn count(&self, state: State) -> usize {
        let runs = self.runs.borrow();
        runs.iter().filter(|run| run.state == state).count()
    }

    /// Returns the number of runs with this `X-Request-Id`.
    #[must_use]
    pub fn count_by_request(&self, request: &str) -> usize {
        let runs = self.runs.borrow();
        let matches = |run: &&Run| run.request.as_deref() == Some(request);
        runs.iter().filter(matches).count()
    }

    /// Returns the number of runs with this `Idempotency-Key`.
    #[must_use]
    pub fn count_by_key(&self, key: &str) -> usize {
        let runs = self.runs.borrow();
        let matches = |run: &&Run| run.key.as_deref() == Some(key);
        runs.iter().filter(matches).count()
    }

    /// Waits until the runs satisfy `condition`.
    ///
    /// # Panics
    ///
    /// Never, because the journal holds the sender.
    pub async fn wait_until(&self, condition: impl Fn(&[Run]) -> bool) {
        let mut receiver = self.runs.subscribe();
        receiver
            .wait_for(|runs| condition(runs))
            .await
            .expect("the journal holds the sender");
    }

    /// Returns the ID of the latest request other than `request`.
    pub(crate) fn other_request_id(&self, request: Option<&str>) -> Option<String> {
        let runs = self.runs.borrow();
        let mut ids = runs.iter().rev().filter_map(|run| run.request.as_deref());
        ids.find(|id| Some(*id) != request).map(str::to_owned)
    }

    fn set_state(&self, index: usize, state: State) {
        self.runs.send_modify(|runs| runs[index].state = state);
    }
}
