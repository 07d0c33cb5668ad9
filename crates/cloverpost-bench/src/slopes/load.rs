//! Load average of the machine.

use std::fmt;
use std::fs;

/// Load averages from the kernel.
const LOADAVG: &str = "/proc/loadavg";

/// Load averages of the machine, as the kernel prints them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(transparent)]
pub struct Load(String);

impl Load {
    /// Returns the averages over 1, 5 and 15 minutes, or an empty text if they cannot be read.
    #[must_use]
    pub fn now() -> Self {
        let text = fs::read_to_string(LOADAVG).unwrap_or_default();
        let averages: Vec<_> = text.split_whitespace().take(3).collect();
        Self(averages.join(" "))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
