//! Request counts of a rollout on one VM.

/// Requests of one VM to a service since its rollout began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests sent to either version.
    pub all: u32,
    /// Requests sent to the new version.
    pub new: u32,
    /// Requests in flight on the previous version. Those still open when the old
    /// upstreams stop are resumed on the new version.
    pub open_old: u32,
}
