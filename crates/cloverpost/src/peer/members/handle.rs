//! Access to membership for other parts of a VM.

use std::sync::Arc;

use cloverpost_core::{id, membership};
use cloverpost_wire::Message;
use ractor::ActorRef;
use tokio::sync::{broadcast, oneshot, watch};

use crate::peer::members::actor::Command;
use crate::peer::{Error, Links, Reply, Target};

/// Handle of the membership actor; clones refer to the same actor.
#[derive(Clone)]
pub struct Handle {
    actor: ActorRef<Command>,
    links: Links,
    view: watch::Receiver<Arc<membership::View>>,
    events: broadcast::Sender<membership::Event>,
}

impl Handle {
    pub(super) const fn new(
        actor: ActorRef<Command>,
        links: Links,
        view: watch::Receiver<Arc<membership::View>>,
        events: broadcast::Sender<membership::Event>,
    ) -> Self {
        Self {
            actor,
            links,
            view,
            events,
        }
    }

    /// Watches the current members.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<membership::View>> {
        self.view.clone()
    }

    /// Subscribes to membership changes. A lagging receiver misses events and has to
    /// reread the view.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<membership::Event> {
        self.events.subscribe()
    }

    /// Address of a current member.
    #[must_use]
    pub fn target(&self, vm: &id::Vm) -> Option<Target> {
        self.view.borrow().get(vm).map(Target::from)
    }

    /// Queues gossip for a current member; see [`Links::send`].
    pub fn send(&self, vm: &id::Vm, message: &Message) -> Result<(), Error> {
        let target = self.target(vm).ok_or(Error::Unreachable)?;
        self.links.send(&target, message)
    }

    /// Passes an incoming message to the actor. Does nothing if the actor has stopped.
    pub fn receive(&self, message: membership::Message, reply: Reply) {
        self.send_command(Command::Receive(message, reply));
    }

    /// Updates the platform's list of entry VMs.
    pub fn set_listed(&self, members: Vec<membership::Member>) {
        self.send_command(Command::SetListed(members));
    }

    /// Starts a graceful shutdown: tells peers that this VM takes no new work.
    pub fn leave(&self) {
        self.send_command(Command::BeginLeave);
    }

    /// Ends a graceful shutdown: sends the departure of this VM to peers and waits
    /// until each delivery has succeeded or failed.
    pub async fn finish_leave(&self) {
        let (done, completed) = oneshot::channel();
        self.send_command(Command::FinishLeave(done));
        // Fails if the actor has stopped.
        let _ = completed.await;
    }

    /// Stops the actor. Unless [`Self::finish_leave`] was called before, peers detect the
    /// stop as a failure.
    pub fn close(self) {
        self.actor.stop(None);
    }

    fn send_command(&self, command: Command) {
        // Fails only if the actor has stopped, during shutdown.
        let _ = self.actor.send_message(command);
    }
}
