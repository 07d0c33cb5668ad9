//! The task that owns a VM's billing.
//!
//! It passes commands of request handlers and messages of peers to the state machine
//! in [`cloverpost_core::billing`] and performs the resulting actions: calls to the
//! store, messages to peers, and replies to waiting callers.

mod act;
mod command;

pub(super) use command::Command;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::billing::ledger::Response;
use cloverpost_core::billing::{self, Durability, Sequence, Source};
use cloverpost_platform::table;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time;

use crate::billing::counters::SharedCounters;
use crate::billing::{Options, Peers, Store};
use crate::clock;

/// Interval at which the state machine is polled for timeouts while it is not idle.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of further commands handled before the next poll.
const MAX_COMMANDS_PER_POLL: usize = 256;

/// The task that owns a VM's billing.
#[derive(Debug)]
pub struct Task<T, P> {
    machine: billing::Machine,
    limits: billing::Options,
    clock: clock::Clock,
    store: Store<T>,
    peers: P,
    queue: mpsc::Receiver<Command>,
    calls: JoinSet<(Option<Source>, Response)>,
    waiting_callers: HashMap<Sequence, Vec<oneshot::Sender<Durability>>>,
    flushed: Option<oneshot::Sender<()>>,
    counters: Arc<SharedCounters>,
}

impl<T: table::Table, P: Peers> Task<T, P> {
    pub(super) fn new(
        options: Options,
        table: T,
        peers: P,
        queue: mpsc::Receiver<Command>,
        counters: Arc<SharedCounters>,
    ) -> Self {
        let limits = options.limits;
        Self {
            machine: billing::Machine::new(options.source, options.zone, limits),
            limits,
            clock: clock::Clock::start(),
            store: Store::new(table),
            peers,
            queue,
            calls: JoinSet::new(),
            waiting_callers: HashMap::new(),
            flushed: None,
            counters,
        }
    }

    /// Runs until the last handle is dropped.
    pub async fn run(mut self) {
        loop {
            self.poll();
            let idle = self.machine.is_idle();
            tokio::select! {
                command = self.queue.recv() => match command {
                    Some(command) => self.handle_commands(command),
                    None => return,
                },
                Some(call) = self.calls.join_next() => {
                    if let Ok((source, response)) = call {
                        self.on_response(source.as_ref(), response);
                    }
                }
                () = time::sleep(POLL_INTERVAL), if !idle => {}
            }
        }
    }

    /// Handles `first` and the commands queued behind it, so that under load the
    /// records of many requests are sent in one message.
    fn handle_commands(&mut self, first: Command) {
        self.handle_command(first);
        for _ in 0..MAX_COMMANDS_PER_POLL {
            let Ok(command) = self.queue.try_recv() else {
                return;
            };
            self.handle_command(command);
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Record(record, released) => {
                let sequence = self.machine.record(record, now);
                self.waiting_callers
                    .entry(sequence)
                    .or_default()
                    .push(released);
            }
            Command::Joined(vm, zone) => self.machine.joined(vm, zone),
            Command::Leaving(vm) => self.machine.leaving(&vm),
            Command::Died(vm) => self.machine.died(&vm),
            Command::Message(from, message) => {
                let reply = self.machine.message(from, message, now);
                if let Some(reply) = reply {
                    self.perform(reply);
                }
            }
            Command::Flush(done) => {
                self.machine.flush();
                self.flushed = Some(done);
            }
        }
    }
}
