//! Tables of a store that came back from a copy.
//!
//! The copy lacks the last changes that the store acknowledged. A VM that knows them keeps them
//! against the store's word until the store has them again, or they are released. Former rows tell
//! what is older in the copy from what was written after the store's return.

use std::collections::BTreeMap;

use crate::directory::table::into_rows;
use crate::directory::{Change, Patch, Row, Table, Version};

impl<T: Clone + PartialEq> Table<T> {
    /// Like [`Self::replace`], but if the rows are of a later era, keeps what the copy knows of the
    /// earlier one and the store has lost: rows that are missing, rows that were overwritten since,
    /// removals, and values of which `outlasts` says so.
    pub fn restore(
        &mut self,
        rows: Vec<Change<T>>,
        version: Version,
        outlasts: impl Fn(&T, &T) -> bool,
    ) -> bool {
        if version.era() <= self.version.era() || self.version == Version::default() {
            return self.replace(rows, version);
        }
        let mut rows = into_rows(rows);
        self.overruled.clear();
        let known: Vec<_> = self.rows.keys().cloned().collect();
        let stored: Vec<_> = rows.keys().cloned().collect();
        for key in known.into_iter().chain(stored) {
            let stored = rows.get(&key);
            if !self.overruled.contains_key(&key) && self.is_lost(&key, stored, &outlasts) {
                let stored = stored.cloned();
                self.keep(key, stored, &mut rows);
            }
        }
        self.replace_rows(rows, version)
    }

    /// Whether what the copy knows of `key` is newer than `stored`, the row of a store that came
    /// back from a copy.
    fn is_lost(
        &self,
        key: &str,
        stored: Option<&Row<T>>,
        outlasts: impl Fn(&T, &T) -> bool,
    ) -> bool {
        let Some(stored) = stored else {
            return self.rows.contains_key(key);
        };
        match self.rows.get(key) {
            Some(known) if known.value == stored.value => false,
            Some(known) => {
                outlasts(&known.value, &stored.value) || self.superseded.contains(key, stored)
            }
            None => self.superseded.contains(key, stored),
        }
    }

    /// Like [`Self::patch`], but keeps what this copy or the peer knows of an earlier era and the
    /// store has lost.
    pub fn restore_patch(&mut self, patch: Patch<T>, outlasts: impl Fn(&T, &T) -> bool) -> bool {
        match patch.base {
            Some(base) if base > self.version => false,
            Some(_) => self.apply_unless(patch.changes, patch.version, outlasts),
            None if patch.version <= self.version => false,
            None => self.restore_snapshot(patch, outlasts),
        }
    }

    fn restore_snapshot(&mut self, patch: Patch<T>, outlasts: impl Fn(&T, &T) -> bool) -> bool {
        let known = into_rows(patch.changes);
        let mut stored = known.clone();
        for (key, row) in &patch.overruled {
            match row {
                Some(row) => stored.insert(key.clone(), row.clone()),
                None => stored.remove(key),
            };
        }
        let stored = stored.iter().map(Change::from_row).collect();
        let mut differs = self.restore(stored, patch.version, outlasts);
        for (key, stored) in patch.overruled {
            let row = known.get(&key);
            differs |= self.keep_as_peer(key, row, stored);
        }
        differs
    }

    /// Keeps `row`, or the removal, that a peer knows of `key` against the store's word `stored`,
    /// unless this copy knows a newer one.
    fn keep_as_peer(&mut self, key: String, row: Option<&Row<T>>, stored: Option<Row<T>>) -> bool {
        let version = |row: Option<&Row<T>>| row.map(|row| row.version);
        let own = self.rows.get(&key);
        if self.overruled.contains_key(&key) && version(own) >= version(row) {
            return false;
        }
        let differs = own.map(|row| &row.value) != row.map(|row| &row.value);
        match row {
            Some(row) => self.rows.insert(key.clone(), row.clone()),
            None => self.rows.remove(&key),
        };
        self.overruled.insert(key, stored);
        differs
    }

    /// Changes a value that the store does not have yet.
    pub fn amend(&mut self, key: &str, value: T) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut row.value, value);
        let before = Row {
            version: row.version,
            value: before,
        };
        self.superseded.push(key.to_owned(), before.clone());
        self.overruled.entry(key.to_owned()).or_insert(Some(before));
    }

    /// Takes the store's word for the overruled keys of which `is_released` says so. Returns these
    /// keys.
    pub fn release_overruled(&mut self, is_released: impl Fn(&str) -> bool) -> Vec<String> {
        let keys = self.overruled.keys().filter(|key| is_released(key));
        let keys: Vec<_> = keys.cloned().collect();
        for key in &keys {
            let stored = self.overruled.remove(key).flatten();
            let before = match stored {
                Some(row) => self.rows.insert(key.clone(), row),
                None => self.rows.remove(key),
            };
            if let Some(before) = before {
                self.superseded.push(key.clone(), before);
            }
        }
        keys
    }

    /// Version of the row of `key` in the store; the default if it has none.
    #[must_use]
    pub fn stored_version(&self, key: &str) -> Version {
        let row = match self.overruled.get(key) {
            Some(stored) => stored.as_ref(),
            None => self.rows.get(key),
        };
        row.map(|row| row.version).unwrap_or_default()
    }

    /// Keeps the known row of `key` if the store's row is still `stored`.
    pub(super) fn keep_while_unchanged(
        &mut self,
        key: String,
        stored: Option<Row<T>>,
        rows: &mut BTreeMap<String, Row<T>>,
    ) {
        if rows.get(&key) == stored.as_ref() {
            self.keep(key, stored, rows);
        }
    }

    /// Puts the known row of `key`, or its absence, into `rows` against the store's word `stored`.
    fn keep(&mut self, key: String, stored: Option<Row<T>>, rows: &mut BTreeMap<String, Row<T>>) {
        match self.rows.get(&key) {
            Some(known) => rows.insert(key.clone(), known.clone()),
            None => rows.remove(&key),
        };
        self.overruled.insert(key, stored);
    }
}
