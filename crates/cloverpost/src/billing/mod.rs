//! Writes usage records to the store and copies them to peers.
//!
//! The decisions are made by the state machine in [`cloverpost_core::billing`]. One
//! [`Task`] owns it, calls the store, sends messages to peers and replies to callers.

mod audit;
mod counters;
mod key;
mod peers;
mod store;
mod task;

pub use audit::audit;
pub use counters::Counters;
pub use peers::Peers;
pub use store::Store;
pub use task::Task;

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::{billing, id, refusal};
use cloverpost_platform::table;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use counters::SharedCounters;
use task::Command;

/// Capacity of the command queue; senders wait while it is full.
const QUEUE_CAPACITY: usize = 1_024;

/// Settings of a VM's billing.
#[derive(Clone, Debug)]
pub struct Options {
    /// The VM and its run.
    pub source: billing::Source,
    /// Availability zone of the VM.
    pub zone: id::AvailabilityZone,
    /// Limits and timeouts.
    pub limits: billing::Options,
}

/// Handle to the billing of one VM.
///
/// Dropping it stops the task and loses the records that are only in the memory of
/// this VM. [`Billing::close`] writes them first.
#[derive(Debug)]
pub struct Billing {
    commands: mpsc::Sender<Command>,
    counters: Arc<SharedCounters>,
}

impl Billing {
    /// Creates the handle and its task, which the caller must run.
    pub fn new<T: table::Table, P: Peers>(
        options: Options,
        table: T,
        peers: P,
    ) -> (Self, Task<T, P>) {
        let (commands, queue) = mpsc::channel(QUEUE_CAPACITY);
        let counters = Arc::new(SharedCounters::default());
        let task = Task::new(options, table, peers, queue, Arc::clone(&counters));
        (Self { commands, counters }, task)
    }

    /// Bills `record` and waits until its response may be completed.
    pub async fn record(&self, record: billing::Record) -> billing::Durability {
        let (released, durability) = oneshot::channel();
        self.send(Command::Record(record, released)).await;
        durability.await.unwrap_or(billing::Durability::Unprotected)
    }

    /// The reason to refuse new billable requests, if there is one.
    #[must_use]
    pub fn refusal(&self) -> Option<refusal::Code> {
        let refusing = self.is_refusing();
        refusing.then_some(refusal::Code::StoreUnavailable)
    }

    /// Whether new billable requests must be refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.counters.is_refusing()
    }

    /// Handles that `vm` in `zone` has joined.
    pub async fn peer_joined(&self, vm: id::Vm, zone: id::AvailabilityZone) {
        self.send(Command::Joined(vm, zone)).await;
    }

    /// Handles that `vm` is about to leave.
    pub async fn peer_leaving(&self, vm: id::Vm) {
        self.send(Command::Leaving(vm)).await;
    }

    /// Handles that `vm` has died or left.
    pub async fn peer_died(&self, vm: id::Vm) {
        self.send(Command::Died(vm)).await;
    }

    /// Handles a message of the VM `from`.
    pub async fn on_message(&self, from: id::Vm, message: billing::Message) {
        self.send(Command::Message(from, message)).await;
    }

    /// Counts since the start and current sizes.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters.snapshot()
    }

    /// Writes the pending records and those taken over from other VMs, for at most `limit`.
    ///
    /// Returns the number of own records that are not stored. The peers that
    /// hold copies bill them once they learn that this VM has left.
    pub async fn close(self, limit: Duration) -> usize {
        self.flush(limit).await
    }

    /// Like [`Billing::close`], but keeps the task running for later records.
    pub async fn flush(&self, limit: Duration) -> usize {
        let (done, flushed) = oneshot::channel();
        self.send(Command::Flush(done)).await;
        // On a timeout the gauge still holds the number of remaining records.
        let _ = time::timeout(limit, flushed).await;
        self.counters.snapshot().pending_records
    }

    /// Sending fails only if the task has panicked. `record` then returns
    /// [`billing::Durability::Unprotected`]; other commands are dropped.
    async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}
