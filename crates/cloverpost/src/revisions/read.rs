//! Reads revisions.

use std::fmt;

use cloverpost_core::{id, spread};
use cloverpost_platform::{fault, objects, table};

use crate::revisions::{Body, Record, Store, key};

/// A revision could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform failed.
    Platform(fault::Fault),
    /// A row or object is missing or corrupt.
    Corrupt(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(fault) => write!(f, "platform: {fault}"),
            Self::Corrupt(what) => write!(f, "corrupt data: {what}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<fault::Fault> for Error {
    fn from(fault: fault::Fault) -> Self {
        Self::Platform(fault)
    }
}

impl<T: table::Table, O: objects::Objects> Store<T, O> {
    /// The newest revision if it is newer than `after`.
    ///
    /// `None` means that no newer revision existed at the time of the read.
    pub async fn newest(&self, after: id::Revision) -> Result<Option<Record>, Error> {
        if after > id::Revision::default() && self.read(after.next()).await?.is_none() {
            return Ok(None);
        }
        let newest = self.history(1).await?.pop();
        Ok(newest.filter(|record| record.number > after))
    }

    /// The revision `number`, if it exists.
    pub async fn read(&self, number: id::Revision) -> Result<Option<Record>, Error> {
        let row = self.table.read(&key::of(number)).await?;
        row.map(|row| decode(&row)).transpose()
    }

    /// Up to `limit` revisions, newest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<Record>, Error> {
        let rows = self.table.list(key::PARTITION, "", limit).await?;
        rows.iter().map(|(_, row)| decode(row)).collect()
    }

    /// The catalogue text of `record`, verified against its hash.
    pub async fn text(&self, record: &Record) -> Result<String, Error> {
        let text = match &record.body {
            Body::Inline(text) => text.clone(),
            Body::Object(name) => self.object(name).await?,
        };
        if spread::Hash::of(&text).to_string() == record.hash {
            Ok(text)
        } else {
            Err(Error::Corrupt(format!(
                "text of revision {}",
                record.number
            )))
        }
    }

    async fn object(&self, name: &str) -> Result<String, Error> {
        let bytes = self.objects.get(name).await?;
        let bytes = bytes.ok_or_else(|| Error::Corrupt(format!("object {name} is missing")))?;
        String::from_utf8(bytes.to_vec())
            .map_err(|_| Error::Corrupt(format!("object {name} is not valid UTF-8")))
    }
}

fn decode(row: &table::Row) -> Result<Record, Error> {
    serde_json::from_slice(&row.value).map_err(|error| Error::Corrupt(error.to_string()))
}
