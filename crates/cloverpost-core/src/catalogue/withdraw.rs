//! Withdraws an entry from service.

use std::fmt;

use crate::catalogue::{Catalogue, State};
use crate::id;

/// How an entry leaves service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Existing sessions continue; no new ones start.
    #[default]
    Draining,
    /// No request starts, including those of existing sessions.
    AtOnce,
}

/// The error for an entry that is not in the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    entry: id::Entry,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no entry is named `{}`", self.entry)
    }
}

impl std::error::Error for Error {}

impl Catalogue {
    /// Returns a copy of the catalogue in which `entry` is withdrawn.
    pub fn withdraw(&self, entry: &id::Entry, mode: Mode) -> Result<Self, Error> {
        let mut catalogue = self.clone();
        let found = catalogue.entries.get_mut(entry).ok_or_else(|| Error {
            entry: entry.clone(),
        })?;
        found.state = match mode {
            Mode::Draining => State::Draining,
            Mode::AtOnce => State::Withdrawn,
        };
        Ok(catalogue)
    }
}
