//! Identity of a lease holder.

use std::fmt;

use crate::id;

/// Identity of a lease holder.
///
/// VM and process do not suffice: a restarted process, or a second handle in the
/// same process, does not know the orders sent to engines under the earlier lease and must
/// wait for it to expire.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// VM that the process runs on.
    pub vm: id::Vm,
    /// Process of the VM.
    pub process: id::Process,
    /// Handle within the process.
    pub handle: id::Handle,
}

impl Holder {
    /// Creates a holder with a random handle.
    pub fn new(vm: id::Vm, process: id::Process, rng: &mut impl rand::Rng) -> Self {
        let handle = id::Handle::random(rng);
        Self {
            vm,
            process,
            handle,
        }
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.process)
    }
}
