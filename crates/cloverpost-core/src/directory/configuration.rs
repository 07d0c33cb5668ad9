//! The operators' configuration.

use crate::directory::{Limits, Organisation, Route, Service};

/// One whole configuration, as an operator accepted it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Configuration {
    /// The operators' number for it; it only rises, in uneven steps.
    pub number: u64,
    /// Where requests may go.
    pub routes: Vec<Route>,
    /// What the routes lead to.
    pub services: Vec<Service>,
    /// Whose requests are taken; if empty, everybody's.
    pub organisations: Vec<Organisation>,
    /// What a caller may send.
    pub limits: Limits,
}
