//! Copies of the store's tables.

use std::collections::BTreeMap;

use crate::directory::{Patch, Superseded, Tombstones, Version};

/// Maximum number of rows of a table that is sent whole in one message, about 30 kB. Larger tables
/// are fetched in pieces.
const MAX_WHOLE_ROWS: usize = 256;
/// Maximum number of changed rows in a patch, about 15 kB; the changes of one transaction are
/// never split. On a link of 10 Mbit/s with eight concurrent transfers this stays below the time
/// limit of a message.
const MAX_PATCH_ROWS: usize = 128;

/// A row and the version in which it was written.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row<T> {
    /// Version of its last write.
    pub version: Version,
    /// Its value.
    pub value: T,
}

impl<T: PartialEq> Row<T> {
    /// Whether `other` may be the same write, read again from a copy of the store.
    #[must_use]
    pub fn is_same_write(&self, other: &Self) -> bool {
        self.version.counter() == other.version.counter() && self.value == other.value
    }
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
    /// Former rows.
    pub superseded: Superseded<T>,
    /// What the store says of keys for which the copy keeps what it knows of an earlier era: the
    /// store's row, or `None` if the store has none.
    pub overruled: BTreeMap<String, Option<Row<T>>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            changed: Version::default(),
            rows: BTreeMap::new(),
            tombstones: Tombstones::default(),
            superseded: Superseded::default(),
            overruled: BTreeMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Table<T> {
    /// Applies the changes up to `version`, and returns whether a value changed.
    ///
    /// Changes that the copy already contains are ignored: a slow feed may repeat what a full read
    /// or a peer has delivered since.
    pub fn apply(&mut self, changes: Vec<Change<T>>, version: Version) -> bool {
        self.apply_unless(changes, version, |_known, _change| false)
    }

    /// Like [`Self::apply`], but keeps the known value if `outlasts` says so of it and a changed
    /// one.
    pub fn apply_unless(
        &mut self,
        changes: Vec<Change<T>>,
        version: Version,
        outlasts: impl Fn(&T, &T) -> bool,
    ) -> bool {
        if version.era() > self.version.era() {
            // The changes since the store's copy are unknown; only a full read has them.
            return false;
        }
        let mut differs = false;
        for change in changes {
            if change.version > self.version {
                differs |= self.apply_one(change, &outlasts);
            }
        }
        self.version = self.version.max(version);
        differs
    }

    fn apply_one(&mut self, change: Change<T>, outlasts: impl Fn(&T, &T) -> bool) -> bool {
        // A rewrite with the same value counts too: the row's version distinguishes repeated
        // orders and rollout states.
        self.changed = self.changed.max(change.version);
        let (key, version) = (change.key.clone(), change.version);
        let known = self.rows.get(&key);
        if let (Some(known), Some(value)) = (known, &change.value)
            && outlasts(&known.value, value)
        {
            self.overruled
                .insert(key, change.into_row().map(|(_, row)| row));
            return false;
        }
        self.overruled.remove(&key);
        let before = self.rows.remove(&key);
        let is_new = before.as_ref().map(|row| &row.value) != change.value.as_ref();
        if let Some(before) = before {
            self.superseded.push(key.clone(), before);
        }
        match change.into_row() {
            Some((key, row)) => {
                self.tombstones.remove(&key);
                self.rows.insert(key, row);
            }
            None => self.tombstones.insert(key, version),
        }
        is_new
    }

    /// Replaces the copy with all rows of the table at `version` if that is newer, and returns
    /// whether a value changed.
    ///
    /// An older copy would restore removed rows and undo changes.
    pub fn replace(&mut self, rows: Vec<Change<T>>, version: Version) -> bool {
        if version <= self.version {
            return false;
        }
        let mut rows = into_rows(rows);
        let overruled = std::mem::take(&mut self.overruled);
        if version.era() == self.version.era() {
            for (key, stored) in overruled {
                self.keep_while_unchanged(key, stored, &mut rows);
            }
        }
        self.replace_rows(rows, version)
    }

    pub(super) fn replace_rows(
        &mut self,
        rows: BTreeMap<String, Row<T>>,
        version: Version,
    ) -> bool {
        let is_new_era = version.era() > self.version.era();
        if self.version == Version::default() {
            // Earlier removals are unknown, and peers may still have those rows.
            self.tombstones = Tombstones::since(version);
            self.changed = version;
        }
        let before = std::mem::replace(&mut self.rows, rows);
        let differs = !has_same_values(&before, &self.rows);
        for (key, row) in before {
            match self.rows.get_mut(&key) {
                // The copy of the store has the row as it was assigned in the earlier era.
                Some(now) if is_new_era && row.is_same_write(now) => now.version = row.version,
                Some(now) if now.version == row.version => {}
                Some(_) => self.superseded.push(key, row),
                None => {
                    // The version of the removal is unknown, so `version` is used; copies that
                    // already have it receive it twice.
                    self.tombstones.insert(key.clone(), version);
                    self.changed = version;
                    self.superseded.push(key, row);
                }
            }
        }
        for (key, row) in &self.rows {
            self.tombstones.remove(key);
            self.changed = self.changed.max(row.version);
        }
        if is_new_era {
            self.changed = version;
        }
        self.version = version;
        differs
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
        if base.era() < self.version.era() {
            return Some(self.whole_table());
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
            overruled: Vec::new(),
        })
    }

    /// Whether the changes that a copy complete up to `base` lacks exceed the size of a message.
    #[must_use]
    pub fn exceeds_message(&self, base: Version) -> bool {
        let is_ahead = self.changed > base && self.rows.len() > MAX_WHOLE_ROWS;
        let lacks_history =
            base.era() < self.version.era() || self.tombstones.after(base).is_none();
        is_ahead && lacks_history
    }

    fn whole_table(&self) -> Patch<T> {
        Patch {
            base: None,
            version: self.version,
            changes: self.rows.iter().map(Change::from_row).collect(),
            overruled: self.overruled.clone().into_iter().collect(),
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

pub(super) fn into_rows<T>(rows: Vec<Change<T>>) -> BTreeMap<String, Row<T>> {
    rows.into_iter().filter_map(Change::into_row).collect()
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
