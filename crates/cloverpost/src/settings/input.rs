//! Unvalidated values of settings.

use std::collections::HashMap;

/// Unvalidated values from flags and environment variables.
#[derive(Clone, Debug, Default)]
pub struct Input {
    flags: HashMap<&'static str, String>,
    variables: HashMap<String, String>,
}

impl Input {
    /// Creates the values from environment variables.
    #[must_use]
    pub fn from_variables(variables: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            flags: HashMap::new(),
            variables: variables.into_iter().collect(),
        }
    }

    /// Sets the value of a flag; does nothing if `value` is `None`.
    #[must_use]
    pub fn with_flag(mut self, flag: &'static str, value: Option<String>) -> Self {
        if let Some(value) = value {
            self.flags.insert(flag, value);
        }
        self
    }

    pub(super) fn flag(&self, flag: &str) -> Option<&str> {
        self.flags.get(flag).map(String::as_str)
    }

    pub(super) fn variable(&self, variable: &str) -> Option<&str> {
        self.variables.get(variable).map(String::as_str)
    }
}
