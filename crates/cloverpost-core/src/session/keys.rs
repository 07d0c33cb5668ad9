//! The set of keys in use, and key rotation.

use std::time::Duration;

use crate::session::Key;

/// Default age limit of a session.
const DEFAULT_MAX_AGE: Duration = Duration::from_hours(24);

/// The keys that seal and open tokens, and the age limit of a token.
///
/// To rotate the key without ending sessions, first give every VM the new key as
/// `previous`, then make it `current` with the old key as `previous`, and drop the old
/// key after `max_age`. At each step every VM can open the tokens of every other VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Seals new tokens and opens existing ones.
    pub current: Key,
    /// Only opens existing tokens.
    pub previous: Option<Key>,
    /// Age at which a session ends.
    pub max_age: Duration,
}

impl Keys {
    /// Uses `current` alone, with the default age limit of 24 hours.
    #[must_use]
    pub const fn new(current: Key) -> Self {
        Self {
            current,
            previous: None,
            max_age: DEFAULT_MAX_AGE,
        }
    }

    /// All keys that open tokens.
    pub(super) fn accepted(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.current).chain(&self.previous)
    }
}
