//! Rows of the in-memory table, sorted by key.

use std::collections;
use std::ops;

use bytes::Bytes;

use crate::table::{Condition, Key, Outcome, Row, Write};

/// Rows of a table, sorted by key.
#[derive(Debug, Default)]
pub struct Rows(collections::BTreeMap<Key, Row>);

impl Rows {
    pub fn read(&self, key: &Key) -> Option<Row> {
        self.0.get(key).cloned()
    }

    pub fn list(&self, partition: &str, after: &str, limit: usize) -> Vec<(Key, Row)> {
        let start = ops::Bound::Excluded(Key::new(partition, after));
        self.0
            .range((start, ops::Bound::Unbounded))
            .take_while(|(key, _)| key.partition == partition)
            .take(limit)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    pub fn write(&mut self, writes: Vec<Write>) -> Outcome {
        if !writes.iter().all(|write| self.condition_holds(write)) {
            return Outcome::Conflict;
        }
        for write in writes {
            match write.value {
                Some(value) => self.put(write.key, value),
                None => drop(self.0.remove(&write.key)),
            }
        }
        Outcome::Written
    }

    fn condition_holds(&self, write: &Write) -> bool {
        let version = self.0.get(&write.key).map(|row| row.version);
        match write.condition {
            Condition::Any => true,
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
        }
    }

    fn put(&mut self, key: Key, value: Bytes) {
        let version = self.0.get(&key).map_or(0, |row| row.version) + 1;
        self.0.insert(key, Row { version, value });
    }
}
