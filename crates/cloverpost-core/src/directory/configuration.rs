//! The operators' configuration.

use crate::directory::{Limits, Organisation, Route, Service, Version};

/// A complete configuration, as accepted from an operator.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Configuration {
    /// The operators' number for this configuration; strictly increasing, with gaps.
    pub number: u64,
    /// Routes from requests to services.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Organisations that may send requests; if empty, anyone may.
    pub organisations: Vec<Organisation>,
    /// Limits on requests and connections.
    pub limits: Limits,
}

impl Configuration {
    /// Version of the configuration in the copies of VMs. It follows from the operators' number
    /// alone, which the store does not assign again. It is at least 1, since the default stands for
    /// no configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        Version::new(self.number.max(1))
    }
}
