//! Messages of the VM list protocol.
//!
//! The format is that of Prometheus HTTP service discovery: a JSON list of groups, each with targets
//! and labels. A group describes one VM. Its labels are `name`, `zone`, `role` (`entry` or
//! `upstream`), `pool` (for an upstream) and `state` (`live` or `leaving`). Groups with other roles
//! are ignored.

mod group;

pub use group::{Group, InvalidGroup, Labels};
