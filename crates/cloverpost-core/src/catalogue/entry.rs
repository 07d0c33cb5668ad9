//! Catalogue entries.

use crate::catalogue::{Kind, Service, State};
use crate::id;
use crate::measure;

/// One model version or plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name, unique in the catalogue; accepted as `model` in requests.
    pub name: id::Entry,
    /// Whether it is served by model engines or by plain services.
    #[serde(default)]
    pub kind: Kind,
    /// Model family, sent to the engine as the model name.
    pub model: Option<id::Model>,
    /// Version of the model.
    pub version: id::Version,
    /// Team or person responsible for it.
    pub owner: String,
    /// Class of work that it serves.
    pub class: id::Class,
    /// Pool of upstreams that serve it.
    pub pool: id::Pool,
    /// Lifecycle state.
    #[serde(default)]
    pub state: State,
    /// Price of its tokens, or of a call for a plain service.
    #[serde(default)]
    pub price: measure::Price,
    /// Expected quality until ratings are available.
    #[serde(default = "Entry::default_quality")]
    pub quality: measure::Quality,
    /// Entry that its rollout replaces.
    pub replaces: Option<id::Entry>,
    /// Maximum number of requests in flight across all VMs; 0 means no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Which calls of a plain service may be retried.
    #[serde(default)]
    pub service: Service,
}

impl Entry {
    const fn default_quality() -> measure::Quality {
        measure::Quality::from_thousandths(1_000)
    }

    /// Whether a call with HTTP `method` may be retried.
    #[must_use]
    pub fn may_repeat(&self, method: &str) -> bool {
        match self.kind {
            Kind::Model => true,
            Kind::Service => self.service.may_repeat(method),
        }
    }
}
