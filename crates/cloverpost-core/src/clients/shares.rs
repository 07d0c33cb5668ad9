//! Division of a VM's memory.

/// Bytes of a megabyte in settings.
const MEGABYTE: u64 = 1_000_000;
/// Bytes that a client may send before its connection is accepted.
pub const PENDING_BYTES: u32 = 4 * 1024;
/// Memory of a VM that does not state it, in megabytes.
const DEFAULT_MEGABYTES: u64 = 128;

/// The parts of a VM's memory that clients may take, three quarters in all. The rest is for the process
/// itself: tables, connections to upstreams and other VMs, and what the allocator does not return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// For large heads and bodies of requests, in bytes.
    pub requests: u64,
    /// For large responses, in bytes.
    pub responses: u64,
    /// For what arrives on connections that are not accepted yet, in bytes.
    pending: u64,
    /// For connections, heads and small bodies while no large request is held, in bytes.
    max_connections: u64,
    /// For connections and large requests together, in bytes.
    together: u64,
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
            requests: bytes * 3 / 8,
            responses: bytes / 8,
            pending: bytes / 8,
            max_connections: bytes / 4,
            together: bytes / 2,
        }
    }

    /// Maximum number of connections that wait to be accepted by a process with `descriptors`. When it
    /// is reached, the kernel drops the first packet of a connection, which its client sends again
    /// after a second.
    #[must_use]
    pub fn backlog(&self, descriptors: u32) -> u32 {
        let max = u32::try_from(self.pending / u64::from(PENDING_BYTES)).unwrap_or(u32::MAX);
        max.min(descriptors)
    }

    /// For connections, heads and small bodies while large requests hold `requests`, in bytes. An
    /// eighth of the memory is left for them in any case.
    #[must_use]
    pub fn connections(&self, requests: u64) -> u64 {
        let held = requests.min(self.requests);
        self.max_connections.min(self.together - held)
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self::of_memory(0)
    }
}
