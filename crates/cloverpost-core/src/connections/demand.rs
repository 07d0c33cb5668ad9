//! Demand of one VM for connections to an upstream.

use crate::count;

/// Requests in flight on an upstream, of this VM and of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests of this VM.
    pub own: usize,
    /// Requests of the other VMs that report to this one; `None` without a recent report.
    pub peers: Option<usize>,
    /// Number of VMs that the report covers, with this one.
    pub reporters: u32,
}

impl Demand {
    /// This VM's part, from 0 to 1, of what is divided by demand among `vms` VMs. VMs that do not
    /// report to each other divide it evenly.
    pub(super) fn fraction(&self, vms: u32) -> f64 {
        let vms = f64::from(vms.max(1));
        let total = self.peers.map(|peers| peers.saturating_add(self.own));
        match total {
            None | Some(0) => 1.0 / vms,
            Some(total) => {
                let reporters = f64::from(self.reporters.max(1)).min(vms);
                count::to_f64(self.own) / count::to_f64(total) * reporters / vms
            }
        }
    }
}
