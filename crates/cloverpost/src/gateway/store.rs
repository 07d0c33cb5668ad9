//! The store that holds what lasts.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use cloverpost_core::directory::{Member, Page, Progress, Version};

/// Tables that have a change feed of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// What operators write: the configuration and orders of roll-outs.
    Operators,
    /// Upstreams that registered.
    Upstreams,
    /// States of roll-outs.
    Progress,
    /// Entry VMs.
    Members,
}

impl Topic {
    /// Name of the topic, for logs and metrics.
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

/// Part of a table that is read whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Its rows.
    pub page: Page,
    /// Key after which the next part begins; `None` after the last one.
    pub more_after: Option<String>,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The feed no longer has the changes that were asked for.
    Forgotten,
    /// Another write came first.
    Conflict,
    /// Nothing was done: unavailable or over its rate.
    Refused(u16),
    /// Nothing came back in time, or the connection broke; a write may have been
    /// done or may yet be.
    Lost(String),
    /// The answer cannot be read.
    Garbled(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Forgotten => f.write_str("the changes asked for are forgotten"),
            Self::Conflict => f.write_str("another write came first"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Lost(reason) => write!(f, "no answer: {reason}"),
            Self::Garbled(reason) => write!(f, "unreadable answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// The store, as typed rows.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the part of a topic that comes after the key `after`, or its first part.
    fn read(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Part, Error>> + Send;

    /// Waits up to `wait` for changes after `after`.
    fn follow(
        &self,
        topic: Topic,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes the state of a roll-out if its row still has version `expected`; 0
    /// means that there is none.
    fn write_progress(
        &self,
        progress: &Progress,
        expected: Version,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists this VM.
    fn announce(&self, member: &Member) -> impl Future<Output = Result<(), Error>> + Send;

    /// Takes this VM off the list.
    fn withdraw(&self, member: &Member) -> impl Future<Output = Result<(), Error>> + Send;
}
