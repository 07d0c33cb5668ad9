//! Placeholder values and attribute name aliases of expressions.

use std::collections;

use crate::dynamodb::Attribute;

/// Values of the placeholders of an expression.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Values(collections::BTreeMap<String, Attribute>);

impl Values {
    /// Adds `value` for `placeholder`.
    #[must_use]
    pub fn with(mut self, placeholder: &str, value: Attribute) -> Self {
        self.0.insert(placeholder.to_owned(), value);
        self
    }

    /// Returns the value for `placeholder`.
    #[must_use]
    pub fn get(&self, placeholder: &str) -> Option<&Attribute> {
        self.0.get(placeholder)
    }

    /// Returns whether there are no values. `DynamoDB` rejects an empty map, so it must be omitted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Attribute names for the aliases of an expression.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Names(collections::BTreeMap<String, String>);

impl Names {
    /// Adds `name` for `alias`.
    #[must_use]
    pub fn with(mut self, alias: &str, name: &str) -> Self {
        self.0.insert(alias.to_owned(), name.to_owned());
        self
    }
}
