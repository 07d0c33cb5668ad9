//! Upstreams for which the upstream table is not followed.

use std::collections::BTreeSet;

use crate::directory::Upstream;

/// Upstreams that are used although the table lacks them, and those that are not used although it
/// lists them.
#[derive(Clone, Debug, Default)]
pub struct Exceptions<'a> {
    /// Upstreams whose registrations are missing, but may return.
    pub retained: Vec<&'a Upstream>,
    /// Ids of upstreams that were removed, and stand in a copy of the store again.
    pub withheld: BTreeSet<&'a str>,
}
