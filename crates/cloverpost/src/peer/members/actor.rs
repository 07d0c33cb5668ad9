//! The actor that owns the membership state machine.

use std::collections::HashMap;
use std::sync::Arc;

use cloverpost_core::membership::{self, Action, Fleet, Token};
use cloverpost_wire::Message;
use futures_util::future;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{broadcast, oneshot, watch};

use crate::clock;
use crate::peer::{Links, Reply, Target};

/// Capacity of the event channel.
const EVENT_CAPACITY: usize = 4096;

/// Commands to the actor.
pub enum Command {
    /// The tick interval has elapsed.
    Tick,
    /// A peer sent a message.
    Receive(membership::Message, Reply),
    /// A request to a peer completed; `None` if it failed.
    Response(Token, Option<membership::Message>),
    /// The platform's list of entry VMs has been read.
    SetListed(Vec<membership::Member>),
    /// This VM starts a graceful shutdown.
    BeginLeave,
    /// This VM has drained; completes once its departure has been sent to peers.
    FinishLeave(oneshot::Sender<()>),
}

/// The membership actor.
pub struct Members;

/// State of the membership actor.
pub struct State {
    fleet: Fleet,
    clock: clock::Clock,
    rng: StdRng,
    links: Links,
    replies: HashMap<membership::Reply, Reply>,
    next_reply: u64,
    published_changes: u64,
    view: watch::Sender<Arc<membership::View>>,
    events: broadcast::Sender<membership::Event>,
}

/// State of a new actor, with the receiver of its view and the sender of its events.
type NewState = (
    State,
    watch::Receiver<Arc<membership::View>>,
    broadcast::Sender<membership::Event>,
);

impl State {
    /// Creates the state of a starting VM, with its view and event channels.
    pub fn new(
        links: Links,
        options: membership::Options,
        listed: Vec<membership::Member>,
    ) -> NewState {
        let identity = links.identity();
        let me = membership::Member {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            address: identity.address,
            incarnation: membership::Incarnation::default(),
            state: membership::State::Alive,
        };
        let mut fleet = Fleet::new(me, options);
        fleet.set_listed(listed);
        let (view, view_receiver) = watch::channel(Arc::new(fleet.view()));
        let events = broadcast::Sender::new(EVENT_CAPACITY);
        let state = Self {
            published_changes: fleet.changes(),
            fleet,
            clock: clock::Clock::start(),
            rng: StdRng::from_os_rng(),
            links,
            replies: HashMap::new(),
            next_reply: 0,
            view,
            events: events.clone(),
        };
        (state, view_receiver, events)
    }

    /// Passes a command to the state machine. Returns the actions to perform and, for
    /// [`Command::FinishLeave`], the sender to signal once they are delivered.
    fn step(&mut self, command: Command) -> (Vec<Action>, Option<oneshot::Sender<()>>) {
        let now = self.clock.now();
        let actions = match command {
            Command::Tick => self.fleet.tick(now, &mut self.rng),
            Command::Receive(message, reply) => {
                let reply = self.store_reply(reply);
                self.fleet.receive(message, reply, now, &mut self.rng)
            }
            Command::Response(token, response) => {
                self.fleet
                    .handle_response(token, response, now, &mut self.rng)
            }
            Command::SetListed(members) => {
                self.fleet.set_listed(members);
                Vec::new()
            }
            Command::BeginLeave => self.fleet.begin_leave(),
            Command::FinishLeave(done) => return (self.fleet.finish_leave(), Some(done)),
        };
        (actions, None)
    }

    /// Stores the reply of a request until the state machine answers or declines it.
    /// Returns `None` if the peer does not wait for a response.
    fn store_reply(&mut self, reply: Reply) -> Option<membership::Reply> {
        if !reply.is_awaited() {
            return None;
        }
        let id = membership::Reply(self.next_reply);
        self.next_reply += 1;
        self.replies.insert(id, reply);
        Some(id)
    }

    /// Performs an action of the state machine.
    fn perform(&mut self, myself: &ActorRef<Command>, action: Action) {
        match action {
            Action::Request { token, to, message } => {
                self.send_request(myself.clone(), token, &to, message);
            }
            Action::Send { to, message } => {
                // Gossip is repeated, so a lost message needs no retry.
                let _ = self
                    .links
                    .send(&Target::from(&to), &Message::Membership(message));
            }
            Action::Answer { reply, message } => {
                if let Some(reply) = self.replies.remove(&reply) {
                    reply.send(Message::Membership(message));
                }
            }
            Action::Decline { reply } => drop(self.replies.remove(&reply)),
            Action::Report(event) => {
                log::info!("{event}");
                // Fails if there are no subscribers.
                let _ = self.events.send(event);
            }
        }
    }

    /// Sends a request in a separate task, so that the actor does not block on it.
    fn send_request(
        &self,
        myself: ActorRef<Command>,
        token: Token,
        to: &membership::Member,
        message: membership::Message,
    ) {
        let (links, target) = (self.links.clone(), Target::from(to));
        tokio::spawn(async move {
            let request = Message::Membership(message);
            let response = match links.request(&target, &request).await {
                Ok(Message::Membership(response)) => Some(response),
                _ => None,
            };
            // Fails only if the actor has stopped, during shutdown.
            let _ = myself.send_message(Command::Response(token, response));
        });
    }

    /// Delivers the departure messages, then signals `done`.
    fn deliver_all(&self, actions: Vec<Action>, done: oneshot::Sender<()>) {
        let links = self.links.clone();
        let deliveries = actions.into_iter().filter_map(move |action| {
            let Action::Send { to, message } = action else {
                return None;
            };
            let links = links.clone();
            Some(async move {
                let message = Message::Membership(message);
                links.deliver(&Target::from(&to), &message).await
            })
        });
        let deliveries = future::join_all(deliveries);
        tokio::spawn(async move {
            // A peer that cannot be reached learns of the stop through gossip.
            let _ = deliveries.await;
            let _ = done.send(());
        });
    }

    /// Publishes the view if the members have changed.
    fn publish_view(&mut self) {
        if self.published_changes != self.fleet.changes() {
            self.published_changes = self.fleet.changes();
            self.view.send_replace(Arc::new(self.fleet.view()));
        }
    }
}

impl Actor for Members {
    type Msg = Command;
    type State = State;
    type Arguments = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<Command>,
        state: State,
    ) -> Result<State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Command>,
        command: Command,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let (actions, done) = state.step(command);
        if let Some(done) = done {
            state.deliver_all(actions, done);
        } else {
            for action in actions {
                state.perform(&myself, action);
            }
        }
        state.publish_view();
        Ok(())
    }
}
