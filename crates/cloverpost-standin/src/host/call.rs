//! Requests.

use bytes::Bytes;
use sha2::Digest;

use crate::host::ConnectionHandle;
use crate::journal::{Run, State};

/// Header with the request ID.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Method, path and headers.
    pub head: http::request::Parts,
    /// Body of the request.
    pub body: Bytes,
    /// Connection on which it was received.
    pub connection: ConnectionHandle,
}

impl Call {
    /// Returns the `X-Request-Id`.
    #[must_use]
    pub fn request_id(&self) -> Option<&str> {
        self.header(REQUEST_ID)
    }

    /// Returns the journal entry of a run by `executor`, in the state [`State::Started`].
    #[must_use]
    pub fn new_run(&self, executor: impl Into<String>) -> Run {
        Run {
            request: self.request_id().map(str::to_owned),
            key: self.header(IDEMPOTENCY_KEY).map(str::to_owned),
            executor: executor.into(),
            body_digest: hex::encode(sha2::Sha256::digest(&self.body)),
            state: State::Started,
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}
