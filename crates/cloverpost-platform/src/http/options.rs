//! Client options.

use std::time::Duration;

/// Options shared by the service clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Timeout of a call, including connection setup.
    pub timeout: Duration,
    /// Client name to send in [`super::CLIENT_HEADER`], if any.
    pub client: Option<String>,
    /// Name of the table.
    pub table: String,
    /// Name of the object store's bucket.
    pub bucket: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(2),
            client: None,
            table: "cloverpost".to_owned(),
            bucket: "cloverpost".to_owned(),
        }
    }
}
