//! What is due as time passes.

use std::time::Duration;

use cloverpost_core::directory::Member;
use ractor::ActorRef;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::rollouts;
use crate::gateway::store::{Error, Store, Topic};

/// Time between questions to peers while the store does not answer.
const ASK: Duration = Duration::from_millis(250);
/// Time between a watcher's messages to the VMs that listen to it.
const TELL: Duration = Duration::from_millis(350);
/// Time between checks of connections to upstreams.
const SWEEP: Duration = Duration::from_secs(2);
/// Time between messages to the VMs that judge a roll-out; its last stage lasts a
/// second or two, in which they must see what it shows.
const EVIDENCE: Duration = Duration::from_millis(100);
/// Time without news from the store after which peers are asked.
const STALE: Duration = Duration::from_secs(4);

impl<C: Codec, S: Store> State<C, S> {
    pub(super) fn tick(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let known = self.missing.len();
        self.missing.retain(|_, (_, until)| now < *until);
        if self.missing.len() != known {
            self.publish();
        }
        let is_stale = now.since(self.heard) > STALE;
        let asks = is_stale || !self.lost.is_empty();
        if asks && now.since(self.asked) > ASK {
            self.asked = now;
            self.ask_a_peer(myself);
        }
        self.go_on(myself);
        self.share_loads();
        self.choose_to_follow();
        if now.since(self.told) > TELL {
            self.tell_listeners();
        }
        if now.since(self.swept) > SWEEP {
            self.swept = now;
            let view = self.parts.shared.view.load();
            self.parts.shared.pool.sweep(&view);
            self.parts.shared.balance().retain(&view);
        }
        self.parts
            .shared
            .metrics
            .ready
            .set(i64::from(self.parts.shared.is_ready()));
        if now.since(self.shared_evidence) > EVIDENCE {
            self.shared_evidence = now;
            self.share_evidence();
        }
        self.drive_rollouts(myself);
    }

    pub(super) fn drive_rollouts(&mut self, myself: &ActorRef<Command>) {
        if self.writes.are_under_way() || self.lost.contains_key(&Topic::Operators) {
            return;
        }
        let steps = rollouts::steps(&self.parts.shared, &self.image);
        let steps = self.writes.begin(steps, self.now());
        if steps.is_empty() {
            return;
        }
        let store = self.parts.store.clone();
        let keeper = myself.clone();
        tokio::spawn(async move {
            let mut ended = Vec::new();
            for step in steps {
                let result = write(&store, &step).await;
                ended.push((step, result));
            }
            // The keeper is gone only while the process ends.
            let _ = keeper.cast(Command::Written(ended));
        });
    }

    /// Takes in how writes ended. A VM that came second lacks the first one's row.
    pub(super) fn note_written(
        &mut self,
        myself: &ActorRef<Command>,
        ended: &[(rollouts::Step, Result<(), Error>)],
    ) {
        if self.writes.end(ended, self.now()) {
            self.ask_a_peer(myself);
        }
    }
}

async fn write<S: Store>(store: &S, step: &rollouts::Step) -> Result<(), Error> {
    let progress = &step.progress;
    let result = store.write_progress(progress, step.expected).await;
    let outcome = match &result {
        Ok(()) => "written".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(
        service = progress.service.as_str(), target_version = progress.target.as_str(),
        state:? = progress.state, why = step.why, evidence = step.evidence.as_str(), expected:% = step.expected, outcome = outcome.as_str();
        "roll-out moves on"
    );
    result
}

/// Lists this VM, again and again until the store has taken it.
pub(super) async fn announce<S: Store>(store: S, own: Member) {
    let mut pause = Duration::from_millis(200);
    while let Err(error) = store.announce(&own).await {
        log::debug!(why:% = error; "this VM is not listed yet");
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(Duration::from_secs(2));
    }
}
