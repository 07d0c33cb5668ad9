//! Liveness of claimants, based on the VMs known to be dead.

use cloverpost_core::claim::{Claimant, Liveness};

use crate::claim;
use crate::snapshot::Shared;

impl claim::Liveness for Shared {
    fn liveness(&self, claimant: &Claimant) -> Liveness {
        if self.load().dead.contains(&claimant.vm) {
            Liveness::Dead
        } else {
            Liveness::Alive
        }
    }
}
