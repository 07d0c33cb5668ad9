//! An admitted request and its context.

use std::sync::{Arc, OnceLock};

use cloverpost_core::poison::{Fingerprint, Part, Profile};
use cloverpost_core::{directory, id, time};

use crate::gateway::buffers::Reservation;
use crate::gateway::clients::Client;
use crate::gateway::codec::RequestHead;
use crate::gateway::retained::Retained;
use crate::gateway::runs::Runs;

/// Number of parts of a prompt that are considered, so that a caller cannot fill the tables of parts.
const MAX_PARTS: usize = 64;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Decoded head of the request.
    pub head: RequestHead,
    /// Route that matched the request.
    pub route: Arc<directory::Route>,
    /// Sender identified by the API key, if any.
    pub sender: Option<Arc<directory::Sender>>,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub uri: http::Uri,
    /// Headers for every attempt, without those specific to one attempt.
    pub headers: http::HeaderMap,
    /// Full request body, until the request is no longer sent again.
    pub body: Retained,
    /// When the head had been read.
    pub started: time::Moment,
    /// When the body had been received.
    pub admitted: time::Moment,
    /// When the response must be complete.
    pub deadline: time::Moment,
    /// Target service.
    pub service: id::Pool,
    /// Attempts that upstreams may have run.
    pub runs: Runs,
    /// Computed on first use.
    pub fingerprint: Arc<OnceLock<Fingerprint>>,
    /// Connection of the caller.
    pub client: Arc<Client>,
    /// Held for a large head.
    pub memory: Option<Arc<Reservation>>,
}

impl Job {
    /// Priority; 0 is the highest. An organisation's priority overrides the route's.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let own = self.sender.as_ref().and_then(|sender| sender.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Organisation that sent the request.
    #[must_use]
    pub fn organisation(&self) -> Option<&id::Organisation> {
        self.sender.as_ref().map(|sender| &sender.organisation)
    }

    /// Identifies copies of the request, which have other ids and reach other VMs.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let path = || self.uri.to_string();
        let body = || self.body.bytes().unwrap_or_default();
        let of_call = || Fingerprint::of_call(self.organisation(), &path(), &body());
        *self.fingerprint.get_or_init(of_call)
    }

    /// Releases the body, since the request is not sent again.
    pub fn release_body(&self) {
        // It identifies the request later on.
        let _ = self.fingerprint();
        self.body.release();
    }

    /// What the request may have in common with others that crash upstreams.
    #[must_use]
    pub fn profile(&self) -> Profile {
        let parts = self.head.shared_parts().iter().take(MAX_PARTS);
        Profile {
            request: self.fingerprint(),
            parts: parts.map(|part| Part::from(part.hash)).collect(),
        }
    }
}
