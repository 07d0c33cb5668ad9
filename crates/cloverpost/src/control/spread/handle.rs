//! Handles of the catalogue propagation task.

use std::fmt;

use cloverpost_core::{id, spread, time};
use tokio::sync::{mpsc, oneshot, watch};

use crate::control::spread::Current;
use crate::control::spread::command::Command;

/// The catalogue propagation task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the catalogue propagation task has ended")
    }
}

impl std::error::Error for Closed {}

/// A handle of the catalogue propagation task, which ends when its last handle is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    current: watch::Receiver<Current>,
}

impl Handle {
    pub(super) const fn new(
        commands: mpsc::Sender<Command>,
        current: watch::Receiver<Current>,
    ) -> Self {
        Self { commands, current }
    }

    /// Watches the current catalogue.
    #[must_use]
    pub fn current(&self) -> watch::Receiver<Current> {
        self.current.clone()
    }

    /// Queues a message from a peer. Drops it if the queue is full; the next exchange with
    /// the peer recovers its content.
    pub fn receive(&self, from: id::Vm, message: spread::Message) {
        let event = spread::Event::Message { from, message };
        let _ = self.commands.try_send(Command::Event(event));
    }

    /// Sets the VMs that membership considers reachable.
    pub async fn set_peers(&self, peers: Vec<id::Vm>) -> Result<(), Closed> {
        self.send_event(spread::Event::Peers(peers)).await
    }

    /// Reports an edit made through this VM that the store accepted. `write_started` is the
    /// time at which the write was sent.
    pub async fn accepted(
        &self,
        write_started: time::Moment,
        edition: spread::Edition,
    ) -> Result<(), Closed> {
        let event = spread::Event::Accepted {
            started: write_started,
            edition,
        };
        self.send_event(event).await
    }

    /// Removes all runs of `vm` from the roster, after the platform has removed the VM
    /// permanently.
    pub async fn remove_vm(&self, vm: id::Vm) -> Result<(), Closed> {
        let command = Command::RemoveVm(vm);
        self.commands.send(command).await.map_err(|_| Closed)
    }

    /// Stops taking new work and leaves the roster.
    pub async fn leave(&self) -> Result<(), Closed> {
        self.send_event(spread::Event::Leave).await
    }

    /// Propagation status of `revision`.
    pub async fn status(&self, revision: id::Revision) -> Result<spread::Status, Closed> {
        let (reply, status) = oneshot::channel();
        let command = Command::Status(revision, reply);
        self.commands.send(command).await.map_err(|_| Closed)?;
        status.await.map_err(|_| Closed)
    }

    async fn send_event(&self, event: spread::Event) -> Result<(), Closed> {
        let command = Command::Event(event);
        self.commands.send(command).await.map_err(|_| Closed)
    }
}
