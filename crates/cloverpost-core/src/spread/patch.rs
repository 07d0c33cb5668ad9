//! Differences between two revisions.
//!
//! A patch carries the text between the common prefix and the common suffix, so its
//! size depends on the edit and not on the catalogue.

use crate::id;
use crate::spread::{Edition, Hash};

/// Transforms the text of one revision into that of a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Patch {
    /// Revision that it applies to.
    pub base: id::Revision,
    /// Resulting revision.
    pub number: id::Revision,
    /// Hash of the resulting text.
    pub hash: Hash,
    /// Length of the common prefix, in bytes.
    #[serde(rename = "front")]
    prefix: u32,
    /// Length of the common suffix, in bytes.
    #[serde(rename = "end")]
    suffix: u32,
    /// Text between them.
    middle: String,
}

impl Patch {
    /// Computes the patch from `old` to `new`.
    #[must_use]
    pub fn between(old: &Edition, new: &Edition) -> Self {
        let prefix = common_prefix(&old.text, &new.text);
        let suffix = common_suffix(&old.text[prefix..], &new.text[prefix..]);
        Self {
            base: old.number,
            number: new.number,
            hash: new.hash,
            prefix: u32::try_from(prefix).unwrap_or(u32::MAX),
            suffix: u32::try_from(suffix).unwrap_or(u32::MAX),
            middle: new.text[prefix..new.text.len() - suffix].to_owned(),
        }
    }

    /// Applies the patch to `base`. Returns `None` if the patch has another base or
    /// the result does not match its hash.
    #[must_use]
    pub fn apply(&self, base: &Edition) -> Option<Edition> {
        if base.number != self.base {
            return None;
        }
        let suffix = base.text.len().checked_sub(self.suffix as usize)?;
        let prefix = base.text.get(..self.prefix as usize)?;
        let suffix = base.text.get(suffix..)?;
        let edition = Edition::new(self.number, [prefix, &self.middle, suffix].concat());
        (edition.hash == self.hash).then_some(edition)
    }
}

fn common_prefix(old: &str, new: &str) -> usize {
    let pairs = old.char_indices().zip(new.chars());
    let differs = pairs.filter(|((_, a), b)| a != b);
    let first = differs.map(|((at, _), _)| at).next();
    first.unwrap_or(old.len().min(new.len()))
}

fn common_suffix(old: &str, new: &str) -> usize {
    let pairs = old.chars().rev().zip(new.chars().rev());
    let same = pairs.take_while(|(a, b)| a == b);
    same.map(|(a, _)| a.len_utf8()).sum()
}
