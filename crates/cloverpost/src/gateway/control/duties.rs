//! What is due as time passes.

use std::time::Duration;

use cloverpost_core::directory::Member;
use ractor::ActorRef;
use tokio::sync::watch;

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
/// Time by which news are later than usual as the store comes back: connections to it are opened
/// anew, and tables read whole.
const LATE_NEWS: Duration = Duration::from_millis(300);
/// Time without news from the store after which peers are asked.
const STALE: Duration = Duration::from_secs(4);
/// First pause after a write of this VM's row that failed; doubled up to [`LIST_PAUSE_MOST`].
const LIST_PAUSE: Duration = Duration::from_millis(200);
/// Time over which VMs that start together write their rows: a part of the store takes 150 a
/// second, and refuses what would wait for more than a second.
const LIST_SPREAD: Duration = Duration::from_millis(900);
/// Longest such pause. Nothing but the share of duties depends on the row.
const LIST_PAUSE_MOST: Duration = Duration::from_secs(2);
/// Time after which a row is written again that the list still lacks: peers that follow it tell
/// of it within some seconds.
const LIST_AGAIN: Duration = Duration::from_secs(10);

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
        self.ask_a_watcher(myself);
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
        let is_back = self.returned_ago().is_some();
        let late = if is_back { LATE_NEWS } else { Duration::ZERO };
        let steps = rollouts::steps(&self.parts.shared, &self.image, late);
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

/// Lists this VM whenever the list lacks it, again and again until the store has taken it.
///
/// A row that stands is left alone: written anew by each of 295 VMs as they start together, it
/// would come to every follower of the list 295 times.
pub(super) async fn announce<S: Store>(
    store: S,
    own: Member,
    mut is_unlisted: watch::Receiver<bool>,
) {
    let mut pause = LIST_PAUSE;
    let spread = LIST_SPREAD.mul_f64(rand::random());
    if is_unlisted
        .wait_for(|is_unlisted| *is_unlisted)
        .await
        .is_ok()
    {
        tokio::time::sleep(spread).await;
    }
    while is_unlisted
        .wait_for(|is_unlisted| *is_unlisted)
        .await
        .is_ok()
    {
        let result = store.announce(&own).await;
        let outcome = match &result {
            Ok(()) => "written".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(outcome = outcome.as_str(); "lists itself");
        let is_changed = is_unlisted.changed();
        if result.is_ok() {
            // The list shows it a moment later; until then it would be written again.
            if tokio::time::timeout(LIST_AGAIN, is_changed).await.is_err() {
                continue;
            }
            pause = LIST_PAUSE;
        } else {
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(LIST_PAUSE_MOST);
        }
    }
}
