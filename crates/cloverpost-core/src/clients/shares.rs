//! Division of a VM's memory.

/// Bytes of a megabyte in settings.
const MEGABYTE: u64 = 1_000_000;
/// Memory of a VM that does not state it, in megabytes.
const DEFAULT_MEGABYTES: u64 = 128;

/// The parts of a VM's memory that clients may take, one half in all. The other half is for the process
/// itself: tables, connections to upstreams and other VMs, and what the allocator does not return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// For connections, heads and small bodies, in bytes.
    pub connections: u64,
    /// For large heads and bodies of requests, in bytes.
    pub requests: u64,
    /// For large responses, in bytes.
    pub responses: u64,
}

impl Shares {
    /// The shares of a VM with `megabytes` of memory; 0 if that is not known.
    #[must_use]
    pub const fn of_memory(megabytes: u32) -> Self {
        let megabytes = match megabytes {
            0 => DEFAULT_MEGABYTES,
            _ => megabytes as u64,
        };
        let bytes = megabytes * MEGABYTE;
        Self {
            connections: bytes / 4,
            requests: bytes / 8,
            responses: bytes / 8,
        }
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self::of_memory(0)
    }
}
