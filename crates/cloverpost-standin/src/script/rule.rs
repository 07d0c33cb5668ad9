//! Rules of a fault script.

use crate::script::Fault;

/// Assigns a fault to requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Fault to inject.
    pub fault: Fault,
    /// Number of requests to which the rule applies. Unlimited if `None`.
    #[serde(default)]
    pub times: Option<u32>,
    /// Text that the request body must contain, if set.
    #[serde(default)]
    pub marker: Option<String>,
    /// Request path. If `None`, the rule applies to all requests for work.
    #[serde(default)]
    pub path: Option<String>,
}

impl Rule {
    /// Creates a rule for the next request, whatever its body.
    #[must_use]
    pub const fn once(fault: Fault) -> Self {
        Self {
            fault,
            times: Some(1),
            marker: None,
            path: None,
        }
    }

    /// Creates a rule for every request whose body contains `marker`.
    #[must_use]
    pub fn with_marker(marker: impl Into<String>, fault: Fault) -> Self {
        Self {
            fault,
            times: None,
            marker: Some(marker.into()),
            path: None,
        }
    }

    /// Restricts the rule to requests to `path`.
    #[must_use]
    pub fn for_path(mut self, path: impl Into<String>) -> Self {
        self.path = Some(path.into());
        self
    }

    /// Returns whether the rule applies to a request.
    pub(super) fn matches(&self, path: &str, body: &[u8]) -> bool {
        if self
            .path
            .as_deref()
            .is_some_and(|expected| expected != path)
        {
            return false;
        }
        let Some(marker) = self.marker.as_deref() else {
            return true;
        };
        String::from_utf8_lossy(body).contains(marker)
    }

    /// Consumes one use and returns whether it was the last.
    pub(super) fn consume(&mut self) -> bool {
        let Some(times) = self.times.as_mut() else {
            return false;
        };
        *times = times.saturating_sub(1);
        *times == 0
    }
}
