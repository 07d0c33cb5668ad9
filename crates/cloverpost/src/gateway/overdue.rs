//! Signal that the response of an attempt is overdue.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cloverpost_core::dispatch::Failure;
use tokio::sync::watch;

/// Whether the response of an attempt is overdue, and what the attempt would end with if it were
/// abandoned. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Overdue(Arc<State>);

#[derive(Debug, Default)]
struct State {
    failure: watch::Sender<Option<Failure>>,
    is_sent: AtomicBool,
}

impl Overdue {
    /// Sets what the attempt would end with; `None` if it is not overdue.
    pub fn set(&self, failure: Option<Failure>) {
        self.0.failure.send_if_modified(|last| {
            let is_changed = *last != failure;
            *last = failure;
            is_changed
        });
    }

    /// Records that the request is being written to the upstream.
    pub fn record_sent(&self) {
        self.0.is_sent.store(true, Ordering::Relaxed);
    }

    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.0.is_sent.load(Ordering::Relaxed)
    }

    /// What the attempt would end with; `None` if it is not overdue.
    #[must_use]
    pub fn get(&self) -> Option<Failure> {
        *self.0.failure.borrow()
    }

    /// Completes while the attempt is overdue.
    pub async fn wait(&self) -> Failure {
        let mut watch = self.0.failure.subscribe();
        let failure = watch.wait_for(Option::is_some).await.ok();
        match failure.and_then(|failure| *failure) {
            Some(failure) => failure,
            // This holds the sender for as long as it waits.
            None => std::future::pending().await,
        }
    }

    /// Whether `other` is a clone of this.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}
