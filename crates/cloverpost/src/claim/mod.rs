//! Claims of idempotency keys, stored in the table in batches.
//!
//! [`Claims::take`] claims a key and returns a [`Ticket`], the right to dispatch
//! the request once. The ticket is passed to [`Claims::release`] if the request did
//! not run, or to [`Claims::complete`] with the answer. A dropped ticket, as when the
//! client disconnects and its task is cancelled, settles the claim according to whether
//! the request was dispatched.
//!
//! Concurrent writes of rows on a VM are batched into transactions. Settling is retried
//! in the background during an outage. The number of unsettled claims is bounded, and
//! no new claim is granted at the limit.

mod abort;
mod answer;
pub mod close;
mod complete;
mod counters;
mod group;
mod job;
mod liveness;
mod manifest;
mod options;
mod release;
mod scoped_key;
mod settle;
mod store;
pub mod sweep;
pub mod take;
mod ticket;

pub use counters::Counters;
pub use job::Progress;
pub use liveness::Liveness;
pub use options::Options;
pub use ticket::Ticket;

use std::sync::Arc;

use cloverpost_core::claim;
use cloverpost_platform::{objects, table};
use tokio::{sync, task};

use crate::clock;

/// Handle to the claims of one VM; clones share their state.
#[derive(Debug)]
pub struct Claims<T, O, L>(Arc<Shared<T, O, L>>);

/// State shared by the clones of [`Claims`].
#[derive(Debug)]
struct Shared<T, O, L> {
    claimant: claim::Claimant,
    liveness: L,
    store: store::Store<T>,
    answers: answer::Store<O>,
    jobs: sync::mpsc::UnboundedSender<job::Job>,
    open_permits: Arc<sync::Semaphore>,
    clock: clock::Clock,
    counters: Counters,
    options: Options,
    tasks: [task::AbortHandle; 2],
}

impl<T, O, L> Clone for Claims<T, O, L> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Creates a handle and spawns its background tasks on the current tokio runtime.
    /// `claimant` identifies this process.
    #[must_use]
    pub fn new(
        table: T,
        objects: O,
        claimant: claim::Claimant,
        liveness: L,
        options: Options,
    ) -> Self {
        let counters = Counters::new();
        let (store, writer) = store::Store::start(table, &claimant, &counters, &options);
        let answers = answer::Store::new(objects, counters.clone(), &options);
        let (jobs, inbox) = sync::mpsc::unbounded_channel();
        let settler = settle::Settler::new(store.clone(), answers.clone(), counters.clone());
        let settler = tokio::spawn(settler.run(inbox));
        Self(Arc::new(Shared {
            claimant,
            liveness,
            store,
            answers,
            jobs,
            open_permits: Arc::new(sync::Semaphore::new(options.max_open)),
            clock: clock::Clock::start(),
            counters,
            options,
            tasks: [writer, settler.abort_handle()],
        }))
    }

    /// Counters of claims and writes.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.0.counters
    }
}
