//! The task that drives the state machine of catalogue propagation.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::{catalogue, id, spread, time};
use cloverpost_platform::{objects, table};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::control::spread::command::Command;
use crate::control::spread::{Current, Options, Peers};
use crate::{clock, revisions, roster};

/// Drives the state machine of this VM.
#[derive(Debug)]
pub struct Task<T, O, P> {
    machine: spread::Machine,
    /// Timeout of calls to the store.
    call_timeout: Duration,
    clock: clock::Clock,
    rng: ChaCha8Rng,
    revisions: revisions::Store<T, O>,
    rosters: roster::Store<T>,
    peers: P,
    commands: mpsc::Receiver<Command>,
    /// Calls to the store in progress.
    calls: JoinSet<Option<spread::Event>>,
    current: watch::Sender<Current>,
    /// The last published catalogue.
    catalogue: Arc<catalogue::Catalogue>,
}

impl<T: table::Table, O: objects::Objects, P: Peers> Task<T, O, P> {
    pub(super) fn new(
        options: Options,
        table: T,
        objects: O,
        peers: P,
        commands: mpsc::Receiver<Command>,
        current: watch::Sender<Current>,
    ) -> Self {
        let now = options.clock.now();
        Self {
            call_timeout: options.spread.window,
            machine: spread::Machine::new(options.local, options.spread, now),
            clock: options.clock,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            revisions: revisions::Store::new(table.clone(), objects),
            rosters: roster::Store::new(table),
            peers,
            commands,
            calls: JoinSet::new(),
            current,
            catalogue: Arc::default(),
        }
    }

    /// Runs until the last handle is dropped.
    pub async fn run(mut self) {
        loop {
            let wait = self.machine.next_tick().since(self.clock.now());
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(Command::Event(event)) => self.step(event),
                    Some(Command::RemoveVm(vm)) => self.remove_vm(&vm),
                    Some(Command::Status(revision, reply)) => {
                        let _ = reply.send(self.machine.status(revision));
                    }
                    None => return,
                },
                Some(call) = self.calls.join_next() => {
                    if let Ok(Some(event)) = call {
                        self.step(event);
                    }
                }
                () = tokio::time::sleep(wait) => self.step(spread::Event::Tick),
            }
        }
    }

    /// Reports all runs of `vm` in the roster to the machine as removed.
    fn remove_vm(&mut self, vm: &id::Vm) {
        let members = self.machine.roster().members().iter();
        let runs: Vec<_> = members.filter(|member| member.vm == *vm).cloned().collect();
        for member in runs {
            self.step(spread::Event::Removed(member));
        }
    }

    /// Passes `event` to the machine, carries out the actions and publishes the result.
    fn step(&mut self, event: spread::Event) {
        let now = self.clock.now();
        for action in self.machine.step(event, now, &mut self.rng) {
            self.carry_out(action);
        }
        let view = self.machine.view();
        let catalogue = &self.catalogue;
        self.current.send_if_modified(|current| {
            let changed = current.view != view;
            current.view = view;
            current.catalogue.clone_from(catalogue);
            changed
        });
    }

    fn carry_out(&mut self, action: spread::Action) {
        match action {
            spread::Action::Send { to, message } => self.peers.send(&to, message),
            spread::Action::Poll { revision, epoch } => self.poll(revision, epoch),
            spread::Action::WriteRoster(roster) => self.write_roster(roster),
            spread::Action::Publish(catalogue) => {
                let revision = self.machine.view().revision;
                log::info!("adopted catalogue revision {revision}");
                self.catalogue = catalogue;
            }
        }
    }

    /// Polls the store for newer revisions and rosters.
    ///
    /// `read_started` is taken before the read: the response states what the store held at some
    /// time after it, which may be long before the response arrives.
    fn poll(&mut self, revision: id::Revision, epoch: id::Epoch) {
        let read_started = self.clock.now();
        let revisions = self.revisions.clone();
        let rosters = self.rosters.clone();
        let call_timeout = self.call_timeout;
        self.calls.spawn(async move {
            let read = read_store(read_started, &revisions, revision, &rosters, epoch);
            let event = tokio::time::timeout(call_timeout, read)
                .await
                .ok()
                .flatten();
            Some(event.unwrap_or(spread::Event::PollFailed))
        });
    }

    fn write_roster(&mut self, roster: spread::Roster) {
        let rosters = self.rosters.clone();
        let call_timeout = self.call_timeout;
        self.calls.spawn(async move {
            let written = tokio::time::timeout(call_timeout, rosters.write(&roster)).await;
            if !matches!(written, Ok(Ok(()))) {
                log::debug!(
                    "failed to write roster {}, or its response was lost",
                    roster.epoch
                );
            }
            None
        });
    }
}

/// Reads the roster and revision that are newer than `epoch` and `revision`, if any.
/// Returns `None` if a call fails.
async fn read_store<T: table::Table, O: objects::Objects>(
    read_started: time::Moment,
    revisions: &revisions::Store<T, O>,
    revision: id::Revision,
    rosters: &roster::Store<T>,
    epoch: id::Epoch,
) -> Option<spread::Event> {
    let roster = rosters.newest(epoch).await.ok()?;
    let record = revisions.newest(revision).await.ok()?;
    let edition = match record {
        Some(record) => {
            let text = revisions.text(&record).await.ok()?;
            Some(spread::Edition::new(record.number, text))
        }
        None => None,
    };
    Some(spread::Event::Polled {
        started: read_started,
        edition,
        roster,
    })
}
