//! Fault configuration.

use std::time::Duration;

use cloverpost_platform::memory;

/// A change to the fault configuration. Absent fields leave their settings unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service to change, or all if absent.
    pub service: Option<Service>,
    /// Client to change, or all if absent.
    pub client: Option<String>,
    /// Whether to clear all faults first.
    pub clear: bool,
    /// Whether calls fail without effect.
    pub down: Option<bool>,
    /// Delay of every call, in milliseconds.
    #[serde(rename = "slow_ms")]
    pub delay_ms: Option<u64>,
    /// Number of writes whose response is lost.
    #[serde(rename = "lose_answers")]
    pub lose_responses: Option<u64>,
    /// Number of writes that are lost.
    pub lose_requests: Option<u64>,
    /// Number of writes that fail with unknown effect and are applied after `request_delay_ms`.
    #[serde(rename = "late_requests")]
    pub delay_requests: Option<u64>,
    /// Delay of the writes counted by `delay_requests`, in milliseconds.
    #[serde(rename = "late_ms")]
    pub request_delay_ms: u64,
    /// Random loss of calls.
    pub loss: Option<Loss>,
    /// Clients to disconnect.
    #[serde(rename = "cut")]
    pub disconnect: Vec<String>,
    /// Clients to reconnect.
    #[serde(rename = "restore")]
    pub reconnect: Vec<String>,
    /// Lag of the VM list, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Minimum interval between loads granted by the weight store, in milliseconds.
    pub load_interval_ms: Option<u64>,
}

/// Random loss of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Loss {
    /// Seed of the random generator.
    pub seed: u64,
    /// Share of lost calls, from 0 to 1.
    pub share: f64,
}

/// A service of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The VM list.
    Vms,
    /// The weight store.
    Weights,
    /// The rating service.
    Rater,
}

impl Faults {
    /// Applies the change to `platform`.
    pub fn apply(&self, platform: &memory::Platform) {
        let view = match &self.client {
            Some(name) => platform.client(name),
            None => platform.clone(),
        };
        for faults in self.selected(&view) {
            self.configure(faults);
        }
        for (names, down) in [(&self.disconnect, true), (&self.reconnect, false)] {
            for name in names {
                let view = platform.client(name);
                self.selected(&view)
                    .iter()
                    .for_each(|faults| faults.set_down(down));
            }
        }
        if let Some(lag) = self.lag_ms {
            platform.vms.set_lag(Duration::from_millis(lag));
        }
        if let Some(interval) = self.load_interval_ms {
            platform
                .weights
                .set_interval(Duration::from_millis(interval));
        }
    }

    fn selected<'a>(&self, view: &'a memory::Platform) -> Vec<&'a memory::Faults> {
        match self.service {
            None => view.faults().to_vec(),
            Some(Service::Table) => vec![view.table.faults()],
            Some(Service::Objects) => vec![view.objects.faults()],
            Some(Service::Vms) => vec![view.vms.faults()],
            Some(Service::Weights) => vec![view.weights.faults()],
            Some(Service::Rater) => vec![view.rater.faults()],
        }
    }

    fn configure(&self, faults: &memory::Faults) {
        if self.clear {
            faults.clear();
        }
        if let Some(down) = self.down {
            faults.set_down(down);
        }
        if let Some(delay) = self.delay_ms {
            faults.set_delay(Duration::from_millis(delay));
        }
        if let Some(count) = self.lose_responses {
            faults.lose_responses(count);
        }
        if let Some(count) = self.lose_requests {
            faults.lose_requests(count);
        }
        if let Some(count) = self.delay_requests {
            faults.delay_requests(count, Duration::from_millis(self.request_delay_ms));
        }
        if let Some(loss) = self.loss {
            faults.set_loss(loss.seed, loss.share);
        }
    }
}
