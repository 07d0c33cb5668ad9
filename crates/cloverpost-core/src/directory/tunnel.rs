//! Requests for a connection to an upstream through another VM.

use std::net::SocketAddr;

use crate::directory::Upstream;
use crate::id;

/// Asks a VM to open a connection to an upstream and to pass its bytes on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Tunnel {
    /// Service of the upstream.
    pub service: id::Pool,
    /// Id of the upstream.
    pub upstream: id::Upstream,
    /// Its address, which must be the one that the asked VM knows.
    pub address: SocketAddr,
}

impl From<&Upstream> for Tunnel {
    fn from(upstream: &Upstream) -> Self {
        Self {
            service: upstream.service.clone(),
            upstream: upstream.id.clone(),
            address: upstream.address,
        }
    }
}

impl Tunnel {
    /// Whether it leads to `upstream`.
    #[must_use]
    pub fn leads_to(&self, upstream: &Upstream) -> bool {
        self.upstream == upstream.id && self.address == upstream.address
    }
}
