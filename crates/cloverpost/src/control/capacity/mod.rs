//! Puts spare replicas to sleep and wakes them.
//!
//! For each pool with [`spare`] settings in the catalogue, the VM that holds the pool's
//! lease decides how many replicas are awake and sends them orders with the lease's
//! fencing token. All VMs contend for the lease, so that another one takes over if the
//! holder fails.
//!
//! [`spare`]: cloverpost_core::catalogue::Upstream::spare

mod scaler;

use std::collections::HashMap;
use std::time::Duration;

use cloverpost_core::{catalogue, id};
use cloverpost_platform::Platform;
use tokio::task::JoinHandle;

use crate::clock;
use crate::front;
use crate::lease;

use scaler::Scaler;

/// Interval between checks of the catalogue for pools with spare replicas.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a scaler for each pool that has spare replicas, until the VM stops.
pub async fn run<P: Platform>(front: front::State, platform: P) {
    let mut scalers: HashMap<id::Pool, JoinHandle<()>> = HashMap::new();
    loop {
        let catalogue = front.snapshot.load().catalogue.clone();
        let has_spare = |pool: &id::Pool| {
            catalogue
                .pool(pool)
                .is_some_and(|pool| pool.spare.is_some())
        };
        scalers.retain(|pool, scaler| {
            let retain = has_spare(pool);
            if !retain {
                scaler.abort();
            }
            retain
        });
        for pool in catalogue.pools().filter(|pool| has_spare(&pool.name)) {
            scalers
                .entry(pool.name.clone())
                .or_insert_with(|| start(&front, &platform, pool));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn start<P: Platform>(
    front: &front::State,
    platform: &P,
    pool: &catalogue::Upstream,
) -> JoinHandle<()> {
    let process = id::Process::new(clock::stamp().as_millis());
    let lease = lease::Lease::new(
        platform.table().clone(),
        &format!("capacity-{}", pool.name),
        front.settings.vm.clone(),
        process,
        front.clock,
        lease::Options::default(),
    );
    let scaler = Scaler::new(
        front.clone(),
        platform.weights().clone(),
        lease,
        pool.name.clone(),
    );
    tokio::spawn(scaler.run())
}
