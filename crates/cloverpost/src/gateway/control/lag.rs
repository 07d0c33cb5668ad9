//! Configurations that this VM was told of and does not have.

use std::time::Duration;

use cloverpost_core::directory::Version;
use cloverpost_core::time;

use crate::gateway::codec::Codec;
use crate::gateway::control::State;
use crate::gateway::store::Store;

/// Time after which a missing configuration is logged.
const LOGGED_AFTER: Duration = Duration::from_secs(1);

/// The newest configuration that a peer told of, and since when this VM lacks one.
#[derive(Debug, Default)]
pub struct Lag {
    told: Version,
    since: Option<time::Moment>,
    is_logged: bool,
}

impl Lag {
    /// Records that a peer has `version`; `held` is the version of this VM.
    pub fn tell(&mut self, version: Version, held: Version, now: time::Moment) {
        self.told = self.told.max(version);
        if self.told > held {
            self.since.get_or_insert(now);
        }
    }
}

impl<C: Codec, S: Store> State<C, S> {
    /// Logs that this VM lacks a configuration for long, and when it has caught up.
    pub(super) fn log_lag(&mut self, now: time::Moment) {
        let held = self.image.configuration.version;
        let told = self.lag.told;
        let Some(since) = self.lag.since else {
            return;
        };
        let lacked = now.since(since);
        let lacked_ms = u64::try_from(lacked.as_millis()).unwrap_or(u64::MAX);
        if held >= told {
            if self.lag.is_logged {
                log::info!(held:%, lacked_ms; "has the newest configuration again");
            }
            self.lag = Lag {
                told,
                ..Lag::default()
            };
        } else if lacked > LOGGED_AFTER && !self.lag.is_logged {
            self.lag.is_logged = true;
            self.context.shared.metrics.peers.late_configurations.inc();
            let fetch = &self.configuration_fetch;
            log::warn!(held:%, told:%, lacked_ms, fetch:%; "a newer configuration is known and not here yet");
        }
    }
}
