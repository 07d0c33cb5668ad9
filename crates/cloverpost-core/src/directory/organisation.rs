//! Organisations and their keys.

use crate::id;

/// An organisation that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Organisation {
    /// Its name, which upstreams are told.
    pub name: id::Organisation,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Rank that goes before a route's; 0 is first.
    pub priority: Option<u8>,
}
