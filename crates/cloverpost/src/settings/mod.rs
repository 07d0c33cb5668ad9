//! Validated settings.
//!
//! A flag takes precedence over an environment variable, and that over the default.
//! [`Settings::read`] reports all missing or invalid settings together, each with its
//! flag, value and accepted form.

mod definitions;
mod input;
mod limits;
mod operator;
mod read;
mod secret;

pub use definitions::{ALL, Setting};
pub use input::Input;
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
    /// Name of this VM; must not be reused by a replacement.
    pub vm: id::Vm,
    /// Availability zone of this VM.
    pub zone: id::AvailabilityZone,
    /// Region of this VM.
    pub region: id::Region,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for operators.
    pub operator_addr: SocketAddr,
    /// Listen address for other VMs.
    pub peer_addr: SocketAddr,
    /// Base URL of the platform's services.
    pub platform_url: http::Uri,
    /// Key shared by all VMs, followed by the previous one during key rotation.
    pub peer_keys: Vec<Secret>,
    /// Key that seals session tokens, followed by the previous one during key rotation.
    pub session_keys: Vec<Secret>,
    /// Operators and the hashes of their keys.
    pub operators: Vec<Operator>,
    /// Format of log lines.
    pub log_format: logs::Format,
    /// Minimum level of log lines.
    pub log_level: log::LevelFilter,
    /// Limits on caller requests.
    pub limits: Limits,
    /// Time between failing `/readyz` and refusing new requests.
    pub drain_delay: Duration,
    /// Maximum time to wait for requests in flight on a planned shutdown.
    pub drain_limit: Duration,
    /// Timeout for calls to the platform's services.
    pub platform_timeout: Duration,
}
