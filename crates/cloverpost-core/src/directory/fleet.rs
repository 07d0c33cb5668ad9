//! How many VMs share what the fleet may do.

use std::fmt;
use std::num::NonZeroU32;
use std::str;

use crate::directory::{Member, Table};

/// Name of a fleet whose size is not known.
const UNKNOWN: &str = "unknown";

/// VMs that share what the fleet may do together, as far as one VM knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet(Option<NonZeroU32>);

/// A text that is no fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFleet {
    text: String,
}

impl fmt::Display for ParseFleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is no number of VMs: want a whole number or {UNKNOWN}",
            self.text
        )
    }
}

impl std::error::Error for ParseFleet {}

impl Fleet {
    /// A fleet of `vms`; unknown if there are none.
    #[must_use]
    pub const fn new(vms: u32) -> Self {
        Self(NonZeroU32::new(vms))
    }

    /// Number of VMs; 0 while it is not known.
    #[must_use]
    pub fn vms(self) -> u32 {
        self.0.map_or(0, NonZeroU32::get)
    }

    /// Part of `whole` for each VM. Nothing while the others are not known: a VM that took
    /// itself for the only one would use up what belongs to all.
    #[must_use]
    pub fn part(self, whole: f64) -> f64 {
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
    /// The fleet as the list of VMs shows it to `own`. A list that lacks `own` was read before
    /// VMs that start together were written to it, and says nothing of their number.
    #[must_use]
    pub fn fleet(&self, own: &Member) -> Fleet {
        if !self.rows.contains_key(own.vm.as_str()) {
            return Fleet::default();
        }
        Fleet::new(u32::try_from(self.rows.len()).unwrap_or(u32::MAX))
    }
}
