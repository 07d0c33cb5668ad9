//! Organisations and their keys.

use crate::id;

/// An organisation that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Organisation {
    /// Its name, which is forwarded to upstreams.
    pub name: id::Organisation,
    /// Keys that identify it.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}
