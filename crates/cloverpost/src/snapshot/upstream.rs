//! Upstreams as seen by traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cloverpost_core::choice;
use cloverpost_core::id;

/// An upstream with its load as known to this VM; clones share the load.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name in the platform's list.
    pub name: id::Vm,
    /// Address for HTTP requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: id::AvailabilityZone,
    /// Requests in flight and the latest load report.
    pub load: Arc<choice::Upstream>,
    reported: Arc<ReportedState>,
}

/// Latest state reported by the upstream.
#[derive(Debug, Default)]
struct ReportedState {
    draining: AtomicBool,
    asleep: AtomicBool,
}

impl Upstream {
    /// Creates an upstream with no requests in flight and a concurrency limit of `limit`.
    #[must_use]
    pub fn new(name: id::Vm, address: SocketAddr, zone: id::AvailabilityZone, limit: u32) -> Self {
        let load = Arc::new(choice::Upstream::new(name.as_str(), limit));
        Self {
            name,
            address,
            zone,
            load,
            reported: Arc::default(),
        }
    }

    /// Records that the upstream is shutting down; it gets no new requests.
    pub fn set_draining(&self) {
        self.reported.draining.store(true, Ordering::Relaxed);
    }

    /// Records whether the upstream has no version loaded.
    pub fn set_asleep(&self, asleep: bool) {
        self.reported.asleep.store(asleep, Ordering::Relaxed);
    }

    /// Whether the upstream had no version loaded at its last report.
    #[must_use]
    pub fn is_asleep(&self) -> bool {
        self.reported.asleep.load(Ordering::Relaxed)
    }

    /// Whether the upstream accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.reported.draining.load(Ordering::Relaxed) && !self.is_asleep()
    }

    /// Requests in flight from this VM and, by the last report, from others.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let peer_load = self.load.report().map_or(0, choice::Report::peer_load);
        self.load.in_flight().saturating_add(peer_load)
    }
}

impl AsRef<choice::Upstream> for Upstream {
    fn as_ref(&self) -> &choice::Upstream {
        &self.load
    }
}
