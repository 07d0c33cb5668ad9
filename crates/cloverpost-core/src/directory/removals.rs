//! Keys that were removed from a table, for copies that still have them.

use std::collections::BTreeMap;

use crate::directory::Version;

/// Removed keys that are remembered at most, 60 bytes each. A copy that lacks more than
/// these is told the whole table.
const MOST: usize = 1000;

/// Keys that were removed from a table, as far as they are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Removals {
    /// When each was removed, at the latest.
    keys: BTreeMap<String, Version>,
    /// Removals up to this version may be missing.
    forgotten: Version,
}

impl Removals {
    /// Removals of a copy that was read whole as of `version` and knows nothing of before.
    #[must_use]
    pub const fn since(version: Version) -> Self {
        Self {
            keys: BTreeMap::new(),
            forgotten: version,
        }
    }

    /// Remembers that `key` was removed at `version` or before.
    pub fn insert(&mut self, key: String, version: Version) {
        self.keys.insert(key, version);
        if self.keys.len() > MOST {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.keys.iter().min_by_key(|(_, version)| **version);
        if let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) {
            self.keys.remove(&key);
            self.forgotten = self.forgotten.max(version);
        }
    }

    /// Forgets that `key` was removed: it is there again.
    pub fn cancel(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// The removals after `version`; `None` if some of them may be forgotten.
    #[must_use]
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = (&String, Version)>> {
        let keys = self.keys.iter().map(|(key, removed)| (key, *removed));
        (version >= self.forgotten).then(|| keys.filter(move |(_, removed)| *removed > version))
    }
}
