//! Billing rows in the table.

use std::fmt;

use cloverpost_core::billing::ledger::{Append, Response, Step};
use cloverpost_core::{billing, id};
use cloverpost_platform::{fault, table};

use crate::billing::key;

/// Number of segments listed in one call.
const PAGE_SIZE: usize = 8;

/// The error returned when a row could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform failed.
    Platform(fault::Fault),
    /// A row could not be encoded or decoded.
    Codec(billing::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(fault) => write!(f, "call to billing table failed: {fault}"),
            Self::Codec(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<fault::Fault> for Error {
    fn from(fault: fault::Fault) -> Self {
        Self::Platform(fault)
    }
}

impl From<billing::Error> for Error {
    fn from(error: billing::Error) -> Self {
        Self::Codec(error)
    }
}

/// Billing rows in a table.
#[derive(Clone, Debug)]
pub struct Store<T> {
    table: T,
}

impl<T: table::Table> Store<T> {
    /// Creates a store of billing rows in `table`.
    #[must_use]
    pub const fn new(table: T) -> Self {
        Self { table }
    }

    /// Performs `step` and returns its response.
    pub async fn call(&self, step: Step) -> Response {
        let response = match step {
            Step::ReadAccount { owner } => self.account(&owner).await.map(Response::Account),
            Step::ReadSegments { owner, from, until } => {
                let mut page = self.page(&owner, from).await;
                if let Ok(page) = &mut page {
                    page.retain(|segment| segment.number < until);
                }
                page.map(Response::Segments)
            }
            Step::Append(append) => self.append(append).await,
        };
        response.unwrap_or_else(|error| failure(&error))
    }

    /// Reads the account of `vm` with its row version.
    pub async fn account(&self, vm: &id::Vm) -> Result<Option<(u64, billing::Account)>, Error> {
        let Some(row) = self.table.read(&key::account(vm)).await? else {
            return Ok(None);
        };
        Ok(Some((row.version, billing::Account::decode(&row.value)?)))
    }

    /// Returns the names of all VMs that have an account.
    pub async fn owners(&self) -> Result<Vec<String>, Error> {
        let mut owners: Vec<String> = Vec::new();
        loop {
            let after = owners.last().map_or("", String::as_str);
            let page = self
                .table
                .list(key::ACCOUNTS, after, table::MAX_WRITES)
                .await?;
            if page.is_empty() {
                return Ok(owners);
            }
            owners.extend(page.into_iter().map(|(key, _)| key.sort));
        }
    }

    /// Reads all segments of `vm`.
    pub async fn segments(&self, vm: &id::Vm) -> Result<Vec<billing::Segment>, Error> {
        let mut segments: Vec<billing::Segment> = Vec::new();
        loop {
            let last = segments.last().map(|segment| segment.number.next());
            let page = self.page(vm, last.unwrap_or_default()).await?;
            if page.is_empty() {
                return Ok(segments);
            }
            segments.extend(page);
        }
    }

    /// Reads up to [`PAGE_SIZE`] segments of `vm`, starting at `from`.
    async fn page(
        &self,
        vm: &id::Vm,
        from: billing::Number,
    ) -> Result<Vec<billing::Segment>, Error> {
        let before = from.get().checked_sub(1).map(billing::Number::new);
        let after = before.map(key::sort_key).unwrap_or_default();
        let rows = self
            .table
            .list(&key::segments(vm), &after, PAGE_SIZE)
            .await?;
        let segments = rows
            .iter()
            .map(|(_, row)| billing::Segment::decode(&row.value));
        Ok(segments.collect::<Result<_, _>>()?)
    }

    /// Writes the segment and the account in one transaction.
    ///
    /// Either condition alone rejects a delayed append while the rows exist. The
    /// account version still rejects it after an operator has deleted processed
    /// segments. The absence of the segment prevents bills from being overwritten
    /// after the account was deleted.
    async fn append(&self, append: Box<Append>) -> Result<Response, Error> {
        let owner = &append.segment.vm;
        let condition = match append.version {
            0 => table::Condition::Absent,
            version => table::Condition::Version(version),
        };
        let segment = key::segment(owner, append.segment.number);
        let writes = vec![
            table::Write::put(key::account(owner), condition, append.account.encode()?),
            table::Write::put(segment, table::Condition::Absent, append.segment.encode()?),
        ];
        Ok(match self.table.write(writes).await? {
            table::Outcome::Written => Response::Written(append),
            table::Outcome::Conflict => Response::Conflict,
        })
    }
}

fn failure(error: &Error) -> Response {
    match error {
        Error::Platform(fault) if fault.effect == fault::Effect::Unknown => Response::Lost,
        Error::Platform(_) => Response::Failed,
        Error::Codec(error) => {
            log::error!("{error}");
            Response::Failed
        }
    }
}
