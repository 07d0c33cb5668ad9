//! Controls of a running stand-in.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::host::Phase;
use crate::journal::Journal;
use crate::script::{Command, Rule, Script};

/// Script, journal and phase of a stand-in, shared by all clones.
#[derive(Clone, Debug)]
pub struct Controls {
    journal: Journal,
    script: Arc<Script>,
    phase: Arc<watch::Sender<Phase>>,
    crashes: mpsc::UnboundedSender<Duration>,
}

impl Controls {
    pub(super) fn new() -> (Self, mpsc::UnboundedReceiver<Duration>) {
        let (crashes, crash_receiver) = mpsc::unbounded_channel();
        let controls = Self {
            journal: Journal::default(),
            script: Arc::default(),
            phase: Arc::new(watch::Sender::new(Phase::default())),
            crashes,
        };
        (controls, crash_receiver)
    }

    /// Returns the journal of runs.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the fault script.
    #[must_use]
    pub fn script(&self) -> &Script {
        &self.script
    }

    /// Adds a rule to the script.
    pub fn inject(&self, rule: Rule) {
        self.script.add(rule);
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Closes all connections and refuses new ones for `downtime`.
    pub fn crash(&self, downtime: Duration) {
        // Sending fails only if the server is closed.
        let _ = self.crashes.send(downtime);
    }

    /// Applies `command`.
    pub fn apply(&self, command: Command) {
        match command {
            Command::Inject(rule) => self.inject(rule),
            Command::Clear => self.script.clear(),
            Command::Phase(phase) => self.set_phase(phase),
            Command::Crash { downtime } => self.crash(downtime),
        }
    }

    pub(super) fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
