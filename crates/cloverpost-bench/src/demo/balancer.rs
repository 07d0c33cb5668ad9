//! The load balancer in front of the VMs.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Distributes requests over the VMs in round-robin order.
#[derive(Debug)]
pub struct Balancer(Mutex<Vec<SocketAddr>>);

/// The VMs for successive attempts of one request.
#[derive(Debug)]
pub struct Rotation<'a> {
    balancer: &'a Balancer,
    next: usize,
}

impl Balancer {
    /// Creates a balancer for `vms`.
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self(Mutex::new(vms))
    }

    /// Removes `vm`, whose `/readyz` check has failed.
    pub fn remove(&self, vm: SocketAddr) {
        self.vms().retain(|known| *known != vm);
    }

    /// Returns the VMs for the request `index`.
    pub fn rotation(&self, index: usize) -> Rotation<'_> {
        Rotation {
            balancer: self,
            next: index,
        }
    }

    fn vms(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        // The list is consistent after each change, so a poisoned lock is safe to use.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rotation<'_> {
    /// Returns the VM for the next attempt.
    pub fn next(&mut self) -> SocketAddr {
        let vms = self.balancer.vms();
        let vm = vms[self.next % vms.len()];
        self.next += 1;
        vm
    }
}
