//! Copies the current catalogue into the snapshot.

use std::sync::Arc;

use tokio::sync::watch;

use crate::control::spread::Current;
use crate::front;

/// Runs until the catalogue propagation task ends.
pub async fn run(mut current: watch::Receiver<Current>, front: front::State) {
    loop {
        let latest = current.borrow_and_update().clone();
        let revision = latest.view.revision;
        front
            .metrics
            .revision
            .set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
        front.snapshot.update(|snapshot| {
            snapshot.view = latest.view;
            snapshot.catalogue = Arc::clone(&latest.catalogue);
        });
        if current.changed().await.is_err() {
            return;
        }
    }
}
