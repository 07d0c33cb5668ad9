//! The body of a request, which may be released before the request ends.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

/// A body that is kept until it is released. Clones share it.
#[derive(Clone, Debug)]
pub struct Retained(Arc<Mutex<Option<Bytes>>>);

impl Retained {
    /// Keeps `bytes`.
    #[must_use]
    pub fn new(bytes: Bytes) -> Self {
        Self(Arc::new(Mutex::new(Some(bytes))))
    }

    /// The bytes, unless they are released.
    #[must_use]
    pub fn bytes(&self) -> Option<Bytes> {
        self.state().clone()
    }

    /// Number of bytes that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.state().as_ref().map_or(0, Bytes::len)
    }

    /// Whether no bytes are kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the bytes are not released.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.state().is_some()
    }

    /// Releases the bytes. Their memory is free once a connection that sends them has done so.
    pub fn release(&self) {
        self.state().take();
    }

    fn state(&self) -> MutexGuard<'_, Option<Bytes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
