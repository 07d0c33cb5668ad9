//! Lifecycle states of VMs.

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM is in service.
    #[default]
    Live,
    /// The VM is shutting down and must receive no new work.
    Leaving,
}
