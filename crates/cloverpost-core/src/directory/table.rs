//! Copies of the store's tables.

use std::collections::BTreeMap;

crate::number::number! {
    /// Reading of the store's counter of transactions; it only rises.
    Version
}

/// A row and the version in which it was written.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row<T> {
    /// Version of its last write.
    pub version: Version,
    /// What it holds.
    pub value: T,
}

/// A changed row of a feed; without a value it was removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<T> {
    /// Key of the row.
    pub key: String,
    /// Version of the write.
    pub version: Version,
    /// What it holds now.
    pub value: Option<T>,
}

/// A copy of one table as of one version.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table<T> {
    /// Version up to which the copy is whole.
    pub version: Version,
    /// Rows by key.
    pub rows: BTreeMap<String, Row<T>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            rows: BTreeMap::new(),
        }
    }
}

impl<T: PartialEq> Table<T> {
    /// Takes in the changes up to `version`; whether a value changed.
    ///
    /// Changes that the copy has already seen are passed over: a feed that was
    /// slow may repeat what a whole read or a peer has brought meanwhile.
    pub fn apply(&mut self, changes: Vec<Change<T>>, version: Version) -> bool {
        let mut differs = false;
        for change in changes {
            if change.version > self.version {
                differs |= self.apply_one(change);
            }
        }
        self.version = self.version.max(version);
        differs
    }

    fn apply_one(&mut self, change: Change<T>) -> bool {
        let Some(value) = change.value else {
            return self.rows.remove(&change.key).is_some();
        };
        let row = Row {
            version: change.version,
            value,
        };
        let before = self.rows.insert(change.key.clone(), row);
        before.is_none_or(|before| before.value != self.rows[&change.key].value)
    }

    /// Takes `other` in place of this copy if it is newer; whether a value changed.
    ///
    /// An older copy would bring back rows that were removed and take back
    /// changes that are in force.
    pub fn replace(&mut self, other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        let same = self.rows.len() == other.rows.len()
            && (self.rows.iter().zip(&other.rows)).all(|((key, row), (other_key, other))| {
                key == other_key && row.value == other.value
            });
        *self = other;
        !same
    }
}
