//! Part of an upstream's connections that one VM may have.

use crate::connections::Demand;
use crate::count;
use crate::directory::Fleet;

/// Part of the maximum that is divided among the VMs. The rest is headroom for connections of VMs that
/// ended or whose views differ.
const USED_FRACTION: f64 = 0.9;
/// Part of that which is divided evenly. The other part follows the demand.
const EVEN_FRACTION: f64 = 0.5;

/// Number of connections to an upstream that one VM may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bound {
    /// The service states no maximum.
    #[default]
    None,
    /// The number of VMs is unknown. Only resets limit the connections.
    Unknown,
    /// At most this number.
    Limited(usize),
}

impl Bound {
    /// The bound of one VM of `fleet` with `demand` if an upstream accepts `maximum` connections from
    /// all of them; 0 and `u32::MAX` state no maximum.
    ///
    /// Each VM has one connection at least. The sum over all VMs is at most `maximum`, unless there are
    /// more VMs.
    #[must_use]
    pub fn new(maximum: u32, fleet: Fleet, demand: &Demand) -> Self {
        if maximum == 0 || maximum == u32::MAX {
            return Self::None;
        }
        if fleet.vms() == 0 {
            return Self::Unknown;
        }
        let vms = f64::from(fleet.vms());
        let used = f64::from(maximum) * USED_FRACTION;
        let even = (used * EVEN_FRACTION / vms).max(1.0);
        let by_demand = (used - even * vms).max(0.0);
        let bound = even + by_demand * demand.fraction(fleet.vms());
        Self::Limited(count::floor(bound).max(1))
    }
}
