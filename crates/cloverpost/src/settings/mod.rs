//! Checked settings.
//!
//! A setting comes from a flag, else from the environment, else from its
//! default. [`Settings::read`] checks every one and reports all that are missing or
//! wrong, each with its flag, its value and the accepted form.

mod catalogue;
mod given;
mod limits;
mod operator;
mod read;
mod secret;

pub use catalogue::{ALL, Setting};
pub use given::Given;
pub use limits::Limits;
pub use operator::Operator;
pub use read::{Error, Errors};
pub use secret::Secret;

use std::net::SocketAddr;
use std::time::Duration;

use cloverpost_core::id;

use crate::logs;

/// Settings of an entry VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM; a replacement needs a new one.
    pub vm: id::Vm,
    /// Availability zone that it stands in.
    pub zone: id::AvailabilityZone,
    /// Region that it stands in.
    pub region: id::Region,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where operators connect.
    pub operator_addr: SocketAddr,
    /// Where other VMs connect.
    pub peer_addr: SocketAddr,
    /// Base URL of the platform's services.
    pub platform_url: http::Uri,
    /// Key that VMs share, and the one before it during a change.
    pub peer_keys: Vec<Secret>,
    /// Key that seals session tokens, and the one before it during a change.
    pub session_keys: Vec<Secret>,
    /// Operators and the hashes of their keys.
    pub operators: Vec<Operator>,
    /// How log lines look.
    pub log_format: logs::Format,
    /// Which log lines are written.
    pub log_level: log::LevelFilter,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// Time between failing `/readyz` and refusing new requests.
    pub drain_delay: Duration,
    /// Longest wait for requests in flight on a planned stop.
    pub drain_limit: Duration,
    /// Longest wait for the platform's services.
    pub platform_timeout: Duration,
}
