//! What an entry VM can bear.

/// Size of an entry VM; VMs of one fleet differ by a factor of ten. Ordered by processor
/// first: handing a change to fifty peers takes both, and a small VM has little of either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Size {
    /// Its share of processor cores, in hundredths; 0 if unknown.
    pub core_percent: u32,
    /// Rate of its link, in Mbit/s; 0 if unknown.
    pub link_mbit: u32,
}
