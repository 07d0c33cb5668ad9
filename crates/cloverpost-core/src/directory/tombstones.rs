//! Tombstones: keys that were removed from a table, kept for copies that still have them.

use std::collections::BTreeMap;

use crate::directory::Version;

/// Maximum number of tombstones, about 60 bytes each. A copy that lacks older ones is sent the
/// whole table.
const MAX_TOMBSTONES: usize = 1000;

/// Tombstones of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tombstones {
    /// Latest version at which each key may have been removed.
    keys: BTreeMap<String, Version>,
    /// Tombstones up to this version may have been discarded.
    discarded_up_to: Version,
}

impl Tombstones {
    /// No tombstones, for a copy that was read in full at `version` and lacks the history before
    /// it.
    #[must_use]
    pub const fn since(version: Version) -> Self {
        Self {
            keys: BTreeMap::new(),
            discarded_up_to: version,
        }
    }

    /// Records that `key` was removed at or before `version`.
    pub fn insert(&mut self, key: String, version: Version) {
        self.keys.insert(key, version);
        if self.keys.len() > MAX_TOMBSTONES {
            self.discard_oldest();
        }
    }

    fn discard_oldest(&mut self) {
        let oldest = self.keys.iter().min_by_key(|(_, version)| **version);
        if let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) {
            self.keys.remove(&key);
            self.discarded_up_to = self.discarded_up_to.max(version);
        }
    }

    /// Removes the tombstone of `key`, which was written again.
    pub fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// The keys removed after `version`; `None` if some of their tombstones may have been
    /// discarded.
    #[must_use]
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = (&String, Version)>> {
        let keys = self.keys.iter().map(|(key, removed)| (key, *removed));
        (version >= self.discarded_up_to)
            .then(|| keys.filter(move |(_, removed)| *removed > version))
    }
}
