//! Names of claims in the table and the object store.

use cloverpost_core::{claim, id};
use cloverpost_platform::table;

/// An idempotency key within its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ScopedKey {
    /// Organisation that sent the key.
    pub organisation: id::Organisation,
    /// The key.
    pub key: claim::Key,
}

impl ScopedKey {
    /// Key of the claim's row.
    #[must_use]
    pub fn row(&self) -> table::Key {
        table::Key::new(format!("claim/{}", self.organisation), self.key.as_str())
    }

    /// Name of the object that stores the answer to `request`.
    ///
    /// The name contains the request id instead of the idempotency key, which may
    /// contain any visible character. Each request stores at most one answer.
    #[must_use]
    pub fn object(&self, request: &id::Request) -> String {
        format!("claim/{}/{request}", self.organisation)
    }
}
