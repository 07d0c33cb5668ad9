//! Copies of the store's tables.

use std::collections::BTreeMap;

use crate::directory::{Patch, Removals};

/// Rows of a table that one message may hold whole, some 30 kB; a larger one is fetched in
/// pieces.
const WHOLE_ROWS: usize = 256;
/// Changed rows that one patch holds at most, but for those of one transaction: some
/// 15 kB, which a link of 10 Mbit/s carries in a tenth of the time that a message may take,
/// beside eight others.
const PATCH_ROWS: usize = 128;

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
#[derive(serde::Serialize, serde::Deserialize)]
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
pub struct Table<T> {
    /// Version up to which the copy is whole. It rises with every word from the store, as the
    /// store has one counter for all tables.
    pub version: Version,
    /// Version of the newest change that the copy holds. A copy that is whole as of this or a
    /// later version has the same rows.
    pub changed: Version,
    /// Rows by key.
    pub rows: BTreeMap<String, Row<T>>,
    /// Keys that were removed.
    pub removals: Removals,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            changed: Version::default(),
            rows: BTreeMap::new(),
            removals: Removals::default(),
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
        // A row that is written anew with the same value counts too: its version tells
        // orders and states of roll-outs apart.
        self.changed = self.changed.max(change.version);
        let Some(value) = change.value else {
            let was_there = self.rows.remove(&change.key).is_some();
            self.removals.insert(change.key, change.version);
            return was_there;
        };
        self.removals.cancel(&change.key);
        let row = Row {
            version: change.version,
            value,
        };
        let before = self.rows.insert(change.key.clone(), row);
        before.is_none_or(|before| before.value != self.rows[&change.key].value)
    }

    /// Takes all rows of the table as of `version` in place of this copy if they are newer;
    /// whether a value changed.
    ///
    /// An older copy would bring back rows that were removed and take back
    /// changes that are in force.
    pub fn replace(&mut self, rows: Vec<Change<T>>, version: Version) -> bool {
        if version <= self.version {
            return false;
        }
        if self.version == Version::default() {
            // What was removed before is not known, and peers may still have it.
            self.removals = Removals::since(version);
            self.changed = version;
        }
        let rows = rows.into_iter().filter_map(Change::into_row).collect();
        let before = std::mem::replace(&mut self.rows, rows);
        for key in before.keys().filter(|key| !self.rows.contains_key(*key)) {
            // When it was removed is not known; whoever has it already is told once more.
            self.removals.insert(key.clone(), version);
            self.changed = version;
        }
        for (key, row) in &self.rows {
            self.removals.cancel(key);
            self.changed = self.changed.max(row.version);
        }
        self.version = version;
        !is_same(&before, &self.rows)
    }

    /// Takes a peer's patch in; whether a value changed.
    pub fn patch(&mut self, patch: Patch<T>) -> bool {
        match patch.base {
            // Rows between the two versions would be missing for ever.
            Some(base) if base > self.version => false,
            Some(_) => self.apply(patch.changes, patch.version),
            None => self.replace(patch.changes, patch.version),
        }
    }
}

impl<T: Clone> Table<T> {
    /// What a copy that is whole as of `base` lacks; `None` if it has all changes.
    ///
    /// Peers that were sent tables whole got the largest one again with each change of any
    /// other, and news of upstreams that leave waited behind it for seconds.
    #[must_use]
    pub fn since(&self, base: Version) -> Option<Patch<T>> {
        if self.changed <= base {
            return None;
        }
        let Some(removed) = self.removals.after(base) else {
            return Some(self.whole());
        };
        let removed = removed.map(|(key, version)| Change {
            key: key.clone(),
            version,
            value: None,
        });
        let rows = self.rows.iter().filter(|(_, row)| row.version > base);
        let mut changes: Vec<_> = rows.map(Change::from_row).chain(removed).collect();
        changes.sort_by_key(|change| change.version);
        let version = cut(&mut changes).unwrap_or(self.version);
        Some(Patch {
            base: Some(base),
            version,
            changes,
        })
    }

    /// Whether a copy that is whole as of `base` lacks more than one message may hold.
    #[must_use]
    pub fn is_far_ahead(&self, base: Version) -> bool {
        let is_ahead = self.changed > base && self.rows.len() > WHOLE_ROWS;
        is_ahead && self.removals.after(base).is_none()
    }

    fn whole(&self) -> Patch<T> {
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

/// Shortens `changes`, which are in order, to what one patch may hold; the version up to
/// which the rest is whole, if any was left out.
fn cut<T>(changes: &mut Vec<Change<T>>) -> Option<Version> {
    let last = changes.get(PATCH_ROWS - 1)?.version;
    let kept = changes.partition_point(|change| change.version <= last);
    if kept == changes.len() {
        return None;
    }
    changes.truncate(kept);
    Some(last)
}

fn is_same<T: PartialEq>(
    before: &BTreeMap<String, Row<T>>,
    after: &BTreeMap<String, Row<T>>,
) -> bool {
    before.len() == after.len()
        && before
            .iter()
            .zip(after)
            .all(|((key, row), (other_key, other))| key == other_key && row.value == other.value)
}
