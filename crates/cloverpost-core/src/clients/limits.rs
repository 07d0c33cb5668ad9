//! Limits on all connections together.

/// Limits on all connections together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum memory of the connections, in bytes.
    pub bytes: u64,
}

/// Part of the descriptors that callers' connections may use. Upstreams, other VMs, the store and
/// files need the rest.
const DESCRIPTORS_DIVISOR: u32 = 2;

impl Limits {
    /// The limits of callers' connections on a VM with `descriptors` file descriptors, of which `bytes`
    /// of memory are for them.
    #[must_use]
    pub const fn of_callers(descriptors: u32, bytes: u64) -> Self {
        Self {
            connections: (descriptors / DESCRIPTORS_DIVISOR) as usize,
            bytes,
        }
    }
}
