//! Capacity of an entry VM.

/// Capacity of an entry VM. VMs of one fleet may differ by a factor of ten. Ordered by processor
/// share first, then by link rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Size {
    /// Processor share in hundredths of a core; 0 if unknown.
    pub core_percent: u32,
    /// Link rate in Mbit/s; 0 if unknown.
    pub link_mbit: u32,
}
