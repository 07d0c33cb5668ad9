//! Catalogue look-ups.

use crate::catalogue::{Catalogue, Class, Entry, KeyHash, Organisation, Upstream};
use crate::id;

impl Catalogue {
    /// The organisation that owns the API key `key`, if any.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let name = self.organisation_by_key.get(&KeyHash::of(key))?;
        self.organisations.get(name)
    }

    /// The class named `name`.
    #[must_use]
    pub fn class(&self, name: &id::Class) -> Option<&Class> {
        self.classes.get(name)
    }

    /// The entry named `name`.
    #[must_use]
    pub fn entry(&self, name: &id::Entry) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// The organisation named `name`.
    #[must_use]
    pub fn organisation(&self, name: &id::Organisation) -> Option<&Organisation> {
        self.organisations.get(name)
    }

    /// Properties of the upstreams of `pool`.
    #[must_use]
    pub fn pool(&self, pool: &id::Pool) -> Option<&Upstream> {
        self.pools.get(pool)
    }

    /// All classes, ordered by name.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.values()
    }

    /// All entries, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// All organisations, ordered by name.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.values()
    }

    /// All pools, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = &Upstream> {
        self.pools.values()
    }

    /// Entries of `class` that `organisation` may use, in the order of its list.
    pub fn permitted<'a>(
        &'a self,
        organisation: &'a Organisation,
        class: &'a id::Class,
    ) -> impl Iterator<Item = &'a Entry> {
        organisation
            .entries
            .iter()
            .filter_map(|name| self.entries.get(name))
            .filter(move |entry| entry.class == *class)
    }
}
