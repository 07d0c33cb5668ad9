//! Catalogue revisions with their text.

use std::sync::Arc;

use crate::id;
use crate::spread::Hash;

/// A catalogue revision with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Edition {
    /// Number of the revision; 0, with an empty text, precedes the first.
    pub number: id::Revision,
    /// Hash of `text`.
    pub hash: Hash,
    /// The catalogue as TOML.
    pub text: Arc<str>,
}

impl Edition {
    /// Creates revision `number` with `text` and its hash.
    #[must_use]
    pub fn new(number: id::Revision, text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        Self {
            number,
            hash: Hash::of(&text),
            text,
        }
    }
}

impl Default for Edition {
    fn default() -> Self {
        Self::new(id::Revision::default(), "")
    }
}
