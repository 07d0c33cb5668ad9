//! Interface to the persistent store.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use cloverpost_core::directory::{self, Era, Member, Progress, Version};

/// Tables with a change feed of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration and rollout orders.
    Operators,
    /// Registered upstreams.
    Upstreams,
    /// Rollout states.
    Progress,
    /// Entry VMs.
    Members,
}

impl Topic {
    /// Name of the topic in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Upstreams => "upstreams",
            Self::Progress => "progress",
            Self::Members => "members",
        }
    }
}

/// A page of a full table read.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The rows.
    pub page: directory::Page,
    /// Key after which the next page starts; `None` for the last page.
    pub next_after: Option<String>,
}

/// Errors of store calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The feed no longer contains the requested changes.
    HistoryUnavailable,
    /// A concurrent write changed the row.
    Conflict,
    /// The store rejected the call with this HTTP status because it is unavailable or
    /// rate limited; nothing was written.
    Rejected(u16),
    /// Timeout or broken connection; a write may have been applied or may still be.
    NoResponse(String),
    /// The response is malformed.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryUnavailable => {
                f.write_str("the feed no longer contains the requested changes")
            }
            Self::Conflict => f.write_str("conflict with a concurrent write"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
            Self::NoResponse(reason) => write!(f, "no response: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client of the persistent store, with typed rows.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the page of `topic` after the key `after`, or the first page.
    fn read(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Long-polls up to `wait` for changes after the version `after`.
    fn follow(
        &self,
        topic: Topic,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<directory::Page, Error>> + Send;

    /// Writes a rollout state if its row has version `expected`; version 0 means no row. The store
    /// compares the counter only; returns the era in which it did.
    fn write_progress(
        &self,
        progress: &Progress,
        expected: Version,
    ) -> impl Future<Output = Result<Era, Error>> + Send;

    /// Adds this VM to the member list.
    fn register(&self, member: &Member) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes this VM from the member list.
    fn deregister(&self, member: &Member) -> impl Future<Output = Result<(), Error>> + Send;
}
