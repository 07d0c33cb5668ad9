//! Writes new revisions.

use std::fmt;

use cloverpost_core::{catalogue, id, spread, time};
use cloverpost_platform::{fault, objects, table};

use crate::revisions::{self, Body, Record, Store, body, key};

/// Maximum number of attempts per write.
const ATTEMPTS: usize = 3;

/// A catalogue edit.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The revision that the edit is based on; 0 for the first edit.
    pub base: id::Revision,
    /// Idempotency key of the edit; retries use the same one.
    pub edit: id::Edit,
    /// Author of the edit.
    pub editor: id::Operator,
    /// Wall-clock time, for the audit trail.
    pub stamp: time::Timestamp,
    /// The editor's description of the change.
    pub comment: String,
    /// The complete new catalogue as TOML.
    pub text: String,
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit was accepted as this revision.
    Accepted(Record),
    /// The edit was rejected: another revision already follows its base, or the
    /// base does not exist. Contains the newest revision, if any.
    Conflict(Option<Record>),
}

/// An edit failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is not a valid catalogue; nothing was written.
    Invalid(catalogue::parse::Error),
    /// The edit was not accepted; it can be retried.
    NotAccepted(revisions::Error),
    /// The edit may have been accepted. A retry with the same edit id determines
    /// the outcome.
    Unknown(revisions::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => write!(f, "invalid catalogue: {error}"),
            Self::NotAccepted(error) => write!(f, "not accepted: {error}"),
            Self::Unknown(error) => write!(f, "may have been accepted: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl<T: table::Table, O: objects::Objects> Store<T, O> {
    /// Writes `edit` as the successor of its base, unless the base has one.
    pub async fn write(&self, edit: Edit) -> Result<Outcome, Error> {
        catalogue::Catalogue::from_toml(&edit.text).map_err(Error::Invalid)?;
        if let Some(outcome) = self.check_base(&edit).await.map_err(Error::NotAccepted)? {
            return Ok(outcome);
        }
        let record = self.prepare(edit).await.map_err(Error::NotAccepted)?;
        self.insert(record).await
    }

    /// Rejects an edit whose base does not exist, which would leave a gap in the
    /// revision numbers.
    async fn check_base(&self, edit: &Edit) -> Result<Option<Outcome>, revisions::Error> {
        let first = edit.base == id::Revision::default();
        if first || self.read(edit.base).await?.is_some() {
            return Ok(None);
        }
        Ok(Some(self.conflict().await?))
    }

    async fn prepare(&self, edit: Edit) -> Result<Record, revisions::Error> {
        let hash = spread::Hash::of(&edit.text).to_string();
        let body = if edit.text.len() <= body::MAX_INLINE_LEN {
            Body::Inline(edit.text)
        } else {
            self.upload(&hash, edit.text).await?
        };
        Ok(Record {
            number: edit.base.next(),
            predecessor: edit.base,
            edit: edit.edit,
            editor: edit.editor,
            stamp: edit.stamp,
            comment: edit.comment,
            hash,
            body,
        })
    }

    /// Uploads the text before the row is written, so that no row refers to a
    /// missing object. The object name is the content hash, so an object left over
    /// from a conflict or a lost response is reused for the same text.
    async fn upload(&self, hash: &str, text: String) -> Result<Body, revisions::Error> {
        let name = format!("catalogue-{hash}");
        let mut last = None;
        for _ in 0..ATTEMPTS {
            match self.objects.create(&name, text.clone().into()).await {
                Ok(_) => return Ok(Body::Object(name)),
                Err(fault) => last = Some(fault),
            }
        }
        let fault = last.unwrap_or_else(|| fault::Fault::without_effect("no attempt was made"));
        Err(fault.into())
    }

    /// Inserts the row. A write may have taken effect although its response was
    /// lost, and a retry would then conflict with it. After each response other than
    /// `Written`, the row is read back and its edit id compared. Rows are immutable,
    /// so a row that was read is final; if there is none, the retry under the same
    /// condition cannot write twice.
    async fn insert(&self, record: Record) -> Result<Outcome, Error> {
        let mut may_have_been_written = false;
        let mut last = revisions::Error::Corrupt("no attempt was made".to_owned());
        for _ in 0..ATTEMPTS {
            match self.table.write(vec![row(&record)]).await {
                Ok(table::Outcome::Written) => return Ok(Outcome::Accepted(record)),
                Ok(table::Outcome::Conflict) => may_have_been_written = true,
                Err(fault) => {
                    may_have_been_written |= fault.effect == fault::Effect::Unknown;
                    last = fault.into();
                }
            }
            match self.resolve(&record).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(error) => last = error,
            }
        }
        Err(if may_have_been_written {
            Error::Unknown(last)
        } else {
            Error::NotAccepted(last)
        })
    }

    async fn resolve(&self, record: &Record) -> Result<Option<Outcome>, revisions::Error> {
        let Some(found) = self.read(record.number).await? else {
            return Ok(None);
        };
        if found.edit == record.edit {
            return Ok(Some(Outcome::Accepted(found)));
        }
        Ok(Some(self.conflict().await?))
    }

    async fn conflict(&self) -> Result<Outcome, revisions::Error> {
        let newest = self.newest(id::Revision::default()).await?;
        Ok(Outcome::Conflict(newest))
    }
}

fn row(record: &Record) -> table::Write {
    let value = serde_json::to_vec(record).expect("records can be serialised as JSON");
    table::Write::put(key::of(record.number), table::Condition::Absent, value)
}
