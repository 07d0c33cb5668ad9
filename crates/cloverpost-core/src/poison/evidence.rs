//! Evidence against a feature of requests.

use crate::poison::Fingerprint;
use crate::{directory, id};

/// A request that was in flight on an upstream when the upstream crashed.
///
/// The two fields identify a crash: reports of the same crash from two VMs, or
/// twice from one VM, are equal and count once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The request.
    pub request: id::Request,
    /// Name of the upstream in the VM list.
    pub upstream: id::Vm,
}

impl Evidence {
    /// The crash of a registered upstream, equal for all requests that were in flight there.
    ///
    /// One crash ends the attempts of many requests. Copies of one request among them, as of a
    /// frequently requested document, must not count as several crashes.
    #[must_use]
    pub fn of_process(upstream: &directory::Upstream) -> Self {
        Self {
            request: id::Request::NIL,
            upstream: name(upstream),
        }
    }

    /// The crash of a registered upstream, which tells the requests apart that were in flight there.
    #[must_use]
    pub fn of_request(upstream: &directory::Upstream, request: &Fingerprint) -> Self {
        Self {
            request: id::Request::from(u128::from(request.prefix())),
            upstream: name(upstream),
        }
    }
}

/// Name of the process of `upstream`.
fn name(upstream: &directory::Upstream) -> id::Vm {
    let id = upstream.id.as_str();
    let process = upstream.born_ms.map(|born_ms| format!("{id}.{born_ms}"));
    // An id that leaves no space for the start time is used alone.
    let name = process.and_then(|name| name.parse().ok());
    name.unwrap_or_else(|| {
        id.parse()
            .expect("ids of upstreams and VMs have the same form")
    })
}
