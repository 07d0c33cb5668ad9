//! Signal that the response of an attempt is overdue.

use std::sync::Arc;

use cloverpost_core::dispatch::Failure;
use tokio::sync::watch;

/// Whether the response of an attempt is overdue, and what the attempt would end with if it were
/// abandoned. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Overdue(Arc<watch::Sender<Option<Failure>>>);

impl Overdue {
    /// Sets what the attempt would end with; `None` if it is not overdue.
    pub fn set(&self, failure: Option<Failure>) {
        self.0.send_if_modified(|last| {
            let is_changed = *last != failure;
            *last = failure;
            is_changed
        });
    }

    /// What the attempt would end with; `None` if it is not overdue.
    #[must_use]
    pub fn get(&self) -> Option<Failure> {
        *self.0.borrow()
    }

    /// Completes while the attempt is overdue.
    pub async fn wait(&self) -> Failure {
        let mut watch = self.0.subscribe();
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
