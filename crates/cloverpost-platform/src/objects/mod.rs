//! The object store.
//!
//! Object names consist of `a-z A-Z 0-9 . _ - /`, so they need no escaping in a URL path.

mod name;

pub use name::validate_name;

use std::future::Future;

use bytes::Bytes;

use crate::fault;

/// An object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Reads the object `name`, or returns `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, fault::Fault>> + Send;

    /// Creates the object `name`. Returns `false` if it already exists.
    fn create(
        &self,
        name: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<bool, fault::Fault>> + Send;
}
