//! News of a limit for other VMs.

use crate::id;
use crate::throttle::Rate;

/// What one VM knows of the limit of an upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Notice {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The rate that it states; `None` if it states none any more.
    pub rate: Option<Rate>,
    /// Order of the notices of an upstream: milliseconds of the store's clock when a response last
    /// showed it, and more than those of all notices that the VM knew before.
    pub stamp: u64,
}
