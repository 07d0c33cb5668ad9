//! Roles of VMs.

use cloverpost_core::id;

/// Role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry VM of the router. Its address accepts peer links.
    Entry,
    /// An upstream of a pool. Its address accepts HTTP requests.
    Upstream(id::Pool),
}
