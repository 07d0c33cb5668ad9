//! Handling of messages and responses from peers.

use rand::Rng;

use crate::id;
use crate::membership::fleet::Purpose;
use crate::membership::{Action, Fleet, Member, Message, News, Reply, Token};
use crate::time;

impl Fleet {
    /// Handles a peer's message. A request comes with `reply`, which is answered or declined now
    /// or later.
    pub fn receive(
        &mut self,
        message: Message,
        reply: Option<Reply>,
        now: time::Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let answer = match message {
            Message::Ping { target, news } => {
                let sender = news.sender.vm.clone();
                self.merge_news(news, now, rng, &mut actions);
                (target == self.me.vm).then(|| Message::Ack {
                    news: self.news(&sender),
                })
            }
            Message::Relay { target, news } => {
                self.merge_news(news, now, rng, &mut actions);
                if let Some(reply) = reply {
                    actions.push(self.relay(target, reply));
                }
                return actions;
            }
            Message::Sync { members } => {
                self.merge_all(members, now, &mut actions);
                Some(Message::Members {
                    members: self.present_members(),
                })
            }
            Message::Ack { news } | Message::Gossip { news } => {
                self.merge_news(news, now, rng, &mut actions);
                None
            }
            Message::Members { members } => {
                self.merge_all(members, now, &mut actions);
                None
            }
        };
        if let Some(reply) = reply {
            actions.push(match answer {
                Some(message) => Action::Answer { reply, message },
                None => Action::Decline { reply },
            });
        }
        actions
    }

    /// Handles the response to a request; `None` if it failed.
    pub fn handle_response(
        &mut self,
        token: Token,
        answer: Option<Message>,
        now: time::Moment,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(purpose) = self.requests.remove(&token) else {
            return actions;
        };
        if let Purpose::Relay(reply) = purpose {
            actions.push(match &answer {
                Some(message) => Action::Answer {
                    reply,
                    message: message.clone(),
                },
                None => Action::Decline { reply },
            });
        }
        match answer {
            Some(Message::Ack { news }) => {
                if let Purpose::Probe(vm) | Purpose::Relayed(vm) = &purpose {
                    self.complete_probe(vm, &news.sender.vm);
                }
                self.merge_news(news, now, rng, &mut actions);
            }
            Some(Message::Members { members }) => {
                if self.merge_all(members, now, &mut actions) >= self.options.sync_soon_threshold {
                    self.next_sync = now + self.options.sync_soon;
                    self.mismatches = self.options.mismatches;
                }
            }
            Some(_) => {}
            None => match purpose {
                Purpose::Probe(vm) => actions.extend(self.probe_indirectly(&vm, rng)),
                // A VM that has just started must not wait for the regular interval.
                Purpose::Sync => self.next_sync = time::Moment::default(),
                Purpose::Relayed(_) | Purpose::Relay(_) | Purpose::Contact => {}
            },
        }
        actions
    }

    /// Merges the data of a heartbeat.
    fn merge_news(
        &mut self,
        news: News,
        now: time::Moment,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let sender = news.sender.clone();
        actions.extend(self.merge(news.sender, now));
        for member in news.changes {
            actions.extend(self.merge(member, now));
        }
        if news.digest == self.digest {
            self.mismatches = 0;
            return;
        }
        self.mismatches += 1;
        actions.extend(self.sync(sender, now, rng));
    }

    /// Requests a full exchange at the start, or if digests differ persistently.
    fn sync(&mut self, with: Member, now: time::Moment, rng: &mut impl Rng) -> Option<Action> {
        let is_first = self.next_sync == time::Moment::default();
        let is_due = now >= self.next_sync && self.mismatches >= self.options.mismatches;
        if !is_first && !is_due {
            return None;
        }
        self.mismatches = 0;
        self.next_sync = now + self.options.sync_every.mul_f64(rng.random_range(1.0..2.0));
        let members = self.present_members();
        Some(self.request(Purpose::Sync, with, Message::Sync { members }))
    }

    /// All present members, including this VM. Dead members are excluded; otherwise VMs that
    /// forgot them would learn them again from peers, and they would never be forgotten.
    fn present_members(&self) -> Vec<Member> {
        std::iter::once(&self.me)
            .chain(self.present())
            .cloned()
            .collect()
    }

    /// Pings `target` for another VM.
    fn relay(&mut self, target: Member, reply: Reply) -> Action {
        let vm: id::Vm = target.vm.clone();
        let news = self.news(&vm);
        let ping = Message::Ping { target: vm, news };
        self.request(Purpose::Relay(reply), target, ping)
    }
}
