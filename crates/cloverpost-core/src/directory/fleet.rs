//! Size of the fleet, over which fleet-wide limits are divided.

use std::fmt;
use std::num::NonZeroU32;
use std::str;

use crate::directory::{Member, Table};

/// Text form of a fleet of unknown size.
const UNKNOWN: &str = "unknown";

/// Number of VMs that share fleet-wide limits, as known to one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet(Option<NonZeroU32>);

/// Error of parsing a [`Fleet`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFleet {
    text: String,
}

impl fmt::Display for ParseFleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a fleet size: expected a positive integer or `{UNKNOWN}`",
            self.text
        )
    }
}

impl std::error::Error for ParseFleet {}

impl Fleet {
    /// A fleet of `vms` VMs; 0 means unknown.
    #[must_use]
    pub const fn new(vms: u32) -> Self {
        Self(NonZeroU32::new(vms))
    }

    /// Number of VMs; 0 if unknown.
    #[must_use]
    pub fn vms(self) -> u32 {
        self.0.map_or(0, NonZeroU32::get)
    }

    /// Share of `whole` for each VM; 0 if the size is unknown, so that a VM never uses the limit
    /// of the whole fleet by itself.
    #[must_use]
    pub fn share(self, whole: f64) -> f64 {
        self.0.map_or(0.0, |vms| whole / f64::from(vms.get()))
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(vms) => vms.fmt(f),
            None => f.write_str(UNKNOWN),
        }
    }
}

impl str::FromStr for Fleet {
    type Err = ParseFleet;

    fn from_str(text: &str) -> Result<Self, ParseFleet> {
        if text == UNKNOWN {
            return Ok(Self(None));
        }
        let vms = text.parse().map_err(|_| ParseFleet {
            text: text.to_owned(),
        })?;
        Ok(Self(Some(vms)))
    }
}

impl Table<Member> {
    /// The fleet according to the member list. Unknown if the list lacks `own`: it was then read
    /// before all VMs that start together were added.
    #[must_use]
    pub fn fleet(&self, own: &Member) -> Fleet {
        if !self.rows.contains_key(own.vm.as_str()) {
            return Fleet::default();
        }
        Fleet::new(u32::try_from(self.rows.len()).unwrap_or(u32::MAX))
    }
}
