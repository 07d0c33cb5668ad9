//! Propagation of catalogue revisions, on the control thread.
//!
//! A [`Task`] drives the [`cloverpost_core::spread::Machine`] with events from its
//! [`Handle`]s, timers and the store, and carries out the resulting actions. The request
//! path reads [`Current`].

mod command;
mod current;
mod handle;
mod options;
mod peers;
mod task;

pub use current::Current;
pub use handle::{Closed, Handle};
pub use options::Options;
pub use peers::Peers;
pub use task::Task;

use cloverpost_platform::{objects, table};
use tokio::sync::{mpsc, watch};

/// Maximum number of queued commands. Messages from peers beyond it are dropped.
const QUEUE_LEN: usize = 1024;

/// Creates a task, to be run on the control thread, and a handle of it.
#[must_use]
pub fn new<T, O, P>(options: Options, table: T, objects: O, peers: P) -> (Task<T, O, P>, Handle)
where
    T: table::Table,
    O: objects::Objects,
    P: Peers,
{
    let (commands, queue) = mpsc::channel(QUEUE_LEN);
    let (publish, current) = watch::channel(Current::default());
    let task = Task::new(options, table, objects, peers, queue, publish);
    (task, Handle::new(commands, current))
}
