//! Copies of the store's tables.

use std::collections::BTreeMap;

use crate::directory::{Patch, Tombstones};

/// Maximum number of rows of a table that is sent whole in one message, about 30 kB. Larger tables
/// are fetched in pieces.
const MAX_WHOLE_ROWS: usize = 256;
/// Maximum number of changed rows in a patch, about 15 kB; the changes of one transaction are
/// never split. On a link of 10 Mbit/s with eight concurrent transfers this stays below the time
/// limit of a message.
const MAX_PATCH_ROWS: usize = 128;

crate::number::number! {
    /// Value of the store's transaction counter; never decreases.
    Version
}

crate::number::number! {
    /// Number of the copy from which the store last came back. Versions assigned after the copy
    /// was made are assigned again in the next era.
    Era
}

/// A row and the version in which it was written.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row<T> {
    /// Version of its last write.
    pub version: Version,
    /// Its value.
    pub value: T,
}

/// A changed row of a feed; a row without a value was removed.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change<T> {
    /// Key of the row.
    pub key: String,
    /// Version of the write.
    pub version: Version,
    /// Its current value.
    pub value: Option<T>,
}

/// A copy of a table at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<T> {
    /// Version up to which the copy is complete. It advances with every response of the store,
    /// which has one counter for all tables.
    pub version: Version,
    /// Version of the newest change in the copy. Any copy that is complete up to this version or a
    /// later one has the same rows.
    pub changed: Version,
    /// Rows by key.
    pub rows: BTreeMap<String, Row<T>>,
    /// Tombstones of removed rows.
    pub tombstones: Tombstones,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            changed: Version::default(),
            rows: BTreeMap::new(),
            tombstones: Tombstones::default(),
        }
    }
}

impl<T: PartialEq> Table<T> {
    /// Applies the changes up to `version`, and returns whether a value changed.
    ///
    /// Changes that the copy already contains are ignored: a slow feed may repeat what a full read
    /// or a peer has delivered since.
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
        // A rewrite with the same value counts too: the row's version distinguishes repeated
        // orders and rollout states.
        self.changed = self.changed.max(change.version);
        let Some(value) = change.value else {
            let was_there = self.rows.remove(&change.key).is_some();
            self.tombstones.insert(change.key, change.version);
            return was_there;
        };
        self.tombstones.remove(&change.key);
        let row = Row {
            version: change.version,
            value,
        };
        let before = self.rows.insert(change.key.clone(), row);
        before.is_none_or(|before| before.value != self.rows[&change.key].value)
    }

    /// Replaces the copy with all rows of the table at `version` if that is newer, and returns
    /// whether a value changed.
    ///
    /// An older copy would restore removed rows and undo changes.
    pub fn replace(&mut self, rows: Vec<Change<T>>, version: Version) -> bool {
        if version <= self.version {
            return false;
        }
        if self.version == Version::default() {
            // Earlier removals are unknown, and peers may still have those rows.
            self.tombstones = Tombstones::since(version);
            self.changed = version;
        }
        let rows = rows.into_iter().filter_map(Change::into_row).collect();
        let before = std::mem::replace(&mut self.rows, rows);
        for key in before.keys().filter(|key| !self.rows.contains_key(*key)) {
            // The version of the removal is unknown, so `version` is used; copies that already
            // have it receive it twice.
            self.tombstones.insert(key.clone(), version);
            self.changed = version;
        }
        for (key, row) in &self.rows {
            self.tombstones.remove(key);
            self.changed = self.changed.max(row.version);
        }
        self.version = version;
        !has_same_values(&before, &self.rows)
    }

    /// Applies a peer's patch, and returns whether a value changed.
    pub fn patch(&mut self, patch: Patch<T>) -> bool {
        match patch.base {
            // The changes between the two versions would be lost.
            Some(base) if base > self.version => false,
            Some(_) => self.apply(patch.changes, patch.version),
            None => self.replace(patch.changes, patch.version),
        }
    }
}

impl<T: Clone> Table<T> {
    /// The changes that a copy complete up to `base` lacks; `None` if there are none.
    #[must_use]
    pub fn since(&self, base: Version) -> Option<Patch<T>> {
        if self.changed <= base {
            return None;
        }
        let Some(removed) = self.tombstones.after(base) else {
            return Some(self.whole_table());
        };
        let removed = removed.map(|(key, version)| Change {
            key: key.clone(),
            version,
            value: None,
        });
        let rows = self.rows.iter().filter(|(_, row)| row.version > base);
        let mut changes: Vec<_> = rows.map(Change::from_row).chain(removed).collect();
        changes.sort_by_key(|change| change.version);
        let version = truncate_to_patch(&mut changes).unwrap_or(self.version);
        Some(Patch {
            base: Some(base),
            version,
            changes,
        })
    }

    /// Whether the changes that a copy complete up to `base` lacks exceed the size of a message.
    #[must_use]
    pub fn exceeds_message(&self, base: Version) -> bool {
        let is_ahead = self.changed > base && self.rows.len() > MAX_WHOLE_ROWS;
        is_ahead && self.tombstones.after(base).is_none()
    }

    fn whole_table(&self) -> Patch<T> {
        Patch {
            base: None,
            version: self.version,
            changes: self.rows.iter().map(Change::from_row).collect(),
        }
    }
}

impl<T> Change<T> {
    fn into_row(self) -> Option<(String, Row<T>)> {
        let row = Row {
            version: self.version,
            value: self.value?,
        };
        Some((self.key, row))
    }
}

impl<T: Clone> Change<T> {
    pub(super) fn from_row((key, row): (&String, &Row<T>)) -> Self {
        Self {
            key: key.clone(),
            version: row.version,
            value: Some(row.value.clone()),
        }
    }
}

/// Truncates the sorted `changes` to the size of a patch. Returns the version up to which the
/// remaining changes are complete, if any were dropped.
fn truncate_to_patch<T>(changes: &mut Vec<Change<T>>) -> Option<Version> {
    let last = changes.get(MAX_PATCH_ROWS - 1)?.version;
    let kept = changes.partition_point(|change| change.version <= last);
    if kept == changes.len() {
        return None;
    }
    changes.truncate(kept);
    Some(last)
}

fn has_same_values<T: PartialEq>(
    before: &BTreeMap<String, Row<T>>,
    after: &BTreeMap<String, Row<T>>,
) -> bool {
    before.len() == after.len()
        && before
            .iter()
            .zip(after)
            .all(|((key, row), (other_key, other))| key == other_key && row.value == other.value)
}
