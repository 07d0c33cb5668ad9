//! News of a rejection for other VMs.

use crate::id;
use crate::throttle::Rate;

/// A fragile upstream of a service has just rejected a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Notice {
    /// The service.
    pub service: id::Pool,
    /// Rejections a second that each of its upstreams survives.
    pub limit: Rate,
}
