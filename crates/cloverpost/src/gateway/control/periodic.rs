//! Periodic tasks of the control actor.

use std::sync::Arc;
use std::time::Duration;

use cloverpost_core::directory::Member;
use cloverpost_core::exposure;
use ractor::ActorRef;
use tokio::sync::watch;

use crate::gateway::codec::Codec;
use crate::gateway::command::Command;
use crate::gateway::control::State;
use crate::gateway::store::{Error, Store, Topic};
use crate::gateway::{Shared, connections, pushback, rollouts};

/// Interval between requests to random peers while the store is unavailable.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time in the queue of the control thread that is logged. Heartbeats that wait longer look like
/// silence.
const LOGGED_QUEUE_TIME: Duration = Duration::from_millis(700);
/// Interval between heartbeats to listeners.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(350);
/// Interval between evictions of expired upstream connections.
const EVICTION_INTERVAL: Duration = Duration::from_secs(2);
/// Time without store contact after which peers are queried.
const STALE_AFTER: Duration = Duration::from_secs(4);
/// Initial backoff after a failed registration; doubles up to [`REGISTER_BACKOFF_MAX`].
const REGISTER_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum random delay of the first registration. Spreads the writes of VMs that start together,
/// since a partition of the store takes 150 writes per second.
const REGISTER_JITTER: Duration = Duration::from_millis(900);
/// Time for the registration of each VM of the fleet. All of them may have to register again when the
/// store comes back from a copy, and one partition of it takes 150 writes per second.
const REGISTER_SPACING: Duration = Duration::from_millis(12);
/// Maximum backoff after a failed registration.
const REGISTER_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Time after which a registration is repeated if the member list still lacks this VM.
const REGISTER_RETRY: Duration = Duration::from_secs(10);

impl<C: Codec, S: Store> State<C, S> {
    /// Records how long a command waited for the control thread.
    pub(super) fn record_queue_time(&self, waited: Duration) {
        self.context
            .shared
            .metrics
            .peers
            .queue_seconds
            .observe(waited.as_secs_f64());
        if waited > LOGGED_QUEUE_TIME {
            let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
            log::warn!(waited_ms; "the control thread is behind");
        }
    }

    pub(super) fn tick(&mut self, myself: &ActorRef<Command>) {
        let now = self.now();
        let retained = self.retained_upstreams.len();
        self.retained_upstreams.retain(|_, (_, until)| now < *until);
        if self.retained_upstreams.len() != retained {
            self.publish();
        }
        self.log_lag(now);
        self.end_restore(now);
        self.publish_first_view();
        let is_stale = now.since(self.last_store_contact) > STALE_AFTER;
        let may_lack_changes = is_stale || !self.failed_topics.is_empty();
        if may_lack_changes && now.since(self.last_request) > PEER_REQUEST_INTERVAL {
            self.last_request = now;
            self.request_from_random_peer(myself);
        }
        self.request_from_watcher(myself);
        self.continue_requests(myself);
        self.request_quarantined(myself);
        self.repeat_quarantined();
        self.share_loads();
        self.share_rate_limits(now);
        pushback::record_ends(&self.context.shared);
        connections::tick(&self.context.shared);
        self.update_followed_topics();
        if now.since(self.last_heartbeat_sent) > HEARTBEAT_INTERVAL {
            self.send_heartbeats();
        }
        if now.since(self.last_eviction) > EVICTION_INTERVAL {
            self.last_eviction = now;
            let view = self.context.shared.view.load();
            self.context.shared.pool.evict_expired(&view);
            self.context.shared.pool.connections().retain(&view);
            self.context.shared.balancer().retain(&view);
            self.context.shared.paths().retain(&view);
            self.context.shared.quarantine.prune(now);
            self.context.shared.admission().retain(&view, now);
        }
        self.context
            .shared
            .metrics
            .ready
            .set(i64::from(self.context.shared.is_ready()));
        self.share_evidence(now);
        self.advance_rollouts(myself);
    }

    pub(super) fn advance_rollouts(&mut self, myself: &ActorRef<Command>) {
        if self.writes.are_in_flight() || self.failed_topics.contains_key(&Topic::Operators) {
            return;
        }
        let now = self.now();
        let reported = self.reported_recovery.map(|recovered| now.since(recovered));
        let order_age = exposure::order_age(self.time_since_recovery(), reported);
        let steps = rollouts::due_steps(
            &self.context.shared,
            &self.image,
            &self.context.own,
            order_age,
        );
        let steps = self.writes.begin(steps, now);
        if steps.is_empty() {
            return;
        }
        let store = self.context.store.clone();
        let controller = myself.clone();
        tokio::spawn(async move {
            let mut results = Vec::new();
            for step in steps {
                let result = write(&store, &step).await;
                results.push((step, result));
            }
            // The send fails only during process shutdown.
            let _ = controller.cast(Command::WritesDone(results));
        });
    }

    /// Handles the results of rollout writes. After a conflict, the winning row is requested from
    /// a peer.
    pub(super) fn handle_write_results(
        &mut self,
        myself: &ActorRef<Command>,
        results: &[(rollouts::Step, Result<(), Error>)],
    ) {
        if self.writes.end(results, self.now()) {
            self.request_from_random_peer(myself);
        }
    }
}

async fn write<S: Store>(store: &S, step: &rollouts::Step) -> Result<(), Error> {
    let progress = &step.progress;
    let result = match store.write_progress(progress, step.expected).await {
        // The store compared a version of another era, which may be of another row.
        Ok(era) if era != step.era => Err(Error::Conflict),
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    };
    let outcome = match &result {
        Ok(()) => "written".to_owned(),
        Err(error) => error.to_string(),
    };
    log::info!(
        service = progress.service.as_str(), target_version = progress.target.as_str(),
        state:? = progress.state, why = step.reason, evidence = step.evidence.as_str(), expected:% = step.expected, outcome = outcome.as_str();
        "roll-out moves on"
    );
    result
}

/// Registers this VM whenever the member list lacks it, retrying until the write succeeds.
///
/// Existing rows are not rewritten, because every write is delivered to all followers of the list:
/// rewritten by 295 VMs that start together, each follower would get 295 of them.
pub(super) async fn register<C: Codec, S: Store>(
    store: S,
    own: Member,
    shared: Arc<Shared<C>>,
    mut is_unlisted: watch::Receiver<bool>,
) {
    let mut backoff = REGISTER_BACKOFF;
    let mut is_delayed = false;
    while is_unlisted
        .wait_for(|is_unlisted| *is_unlisted)
        .await
        .is_ok()
    {
        if !is_delayed {
            is_delayed = true;
            let spread = REGISTER_JITTER.max(REGISTER_SPACING * shared.fleet().vms());
            tokio::time::sleep(spread.mul_f64(rand::random())).await;
            continue;
        }
        let result = store.register(&own).await;
        let outcome = match &result {
            Ok(()) => "written".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(outcome = outcome.as_str(); "registration in the member list finished");
        let is_changed = is_unlisted.changed();
        if result.is_ok() {
            // Waits until the member list reflects the write, to avoid writing it again.
            if tokio::time::timeout(REGISTER_RETRY, is_changed)
                .await
                .is_err()
            {
                continue;
            }
            backoff = REGISTER_BACKOFF;
            is_delayed = false;
        } else {
            tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(REGISTER_BACKOFF_MAX);
        }
    }
}
