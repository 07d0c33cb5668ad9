//! The current plans.

use std::collections::HashMap;

use cloverpost_core::id;
use cloverpost_core::plan::Selection;

/// Plans by organisation and class.
#[derive(Clone, Debug, Default)]
pub struct Selections(HashMap<id::Organisation, HashMap<id::Class, Selection>>);

impl Selections {
    /// The plan of `class` for `organisation`, if one was selected.
    #[must_use]
    pub fn get(&self, organisation: &id::Organisation, class: &id::Class) -> Option<&Selection> {
        self.0.get(organisation)?.get(class)
    }

    /// Sets the plan of `class` for `organisation`.
    pub fn set(&mut self, organisation: id::Organisation, class: id::Class, selection: Selection) {
        self.0
            .entry(organisation)
            .or_default()
            .insert(class, selection);
    }
}
