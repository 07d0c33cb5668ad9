//! Rows that were overwritten or removed.

use std::collections::VecDeque;

use crate::directory::Row;

/// Maximum number of rows kept of a table, at about 200 bytes each. Copies of the store are some
/// seconds old, and large tables change a few times a second.
const MAX_ROWS: usize = 256;

/// The last rows of a table that were overwritten or removed. By them a row of an older copy of the
/// store is told from one that was written after the store came back.
#[derive(Clone, Debug, PartialEq)]
pub struct Superseded<T> {
    /// Keys and rows, oldest first.
    rows: VecDeque<(String, Row<T>)>,
}

impl<T> Default for Superseded<T> {
    fn default() -> Self {
        Self {
            rows: VecDeque::new(),
        }
    }
}

impl<T> Superseded<T> {
    /// Records that `row` of `key` was overwritten or removed.
    pub fn push(&mut self, key: String, row: Row<T>) {
        if self.rows.len() == MAX_ROWS {
            self.rows.pop_front();
        }
        self.rows.push_back((key, row));
    }

    /// The former rows of `key`.
    pub fn of<'a>(&'a self, key: &'a str) -> impl Iterator<Item = &'a Row<T>> {
        let rows = self.rows.iter().filter(move |(former, _)| former == key);
        rows.map(|(_, row)| row)
    }
}

impl<T: PartialEq> Superseded<T> {
    /// Whether `row` of `key` is one of the former rows, as a copy of the store has it.
    #[must_use]
    pub fn contains(&self, key: &str, row: &Row<T>) -> bool {
        self.of(key).any(|former| former.is_same_write(row))
    }
}
