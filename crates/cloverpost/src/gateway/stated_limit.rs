//! Limits that upstreams state in their responses.

use cloverpost_core::{directory, throttle};

use crate::gateway::codec::Stated;
use crate::gateway::job::Job;

/// The response does not tell whether there is a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Untold;

/// The limit that a response states, if there is one.
///
/// # Errors
///
/// A rejection without a limit tells nothing, nor does a limit that cannot be read.
pub fn read(
    job: &Job,
    upstream: &directory::Upstream,
    stated: &Stated<throttle::Rate>,
    is_rejection: bool,
) -> Result<Option<throttle::Rate>, Untold> {
    match stated {
        Stated::Absent if is_rejection => Err(Untold),
        Stated::Absent => Ok(None),
        Stated::Value(rate) => Ok(Some(*rate)),
        Stated::Malformed(value) => {
            log::warn!(
                id = job.head.id.as_str(), upstream = upstream.id.as_str(), value = value.as_str();
                "a limit that the upstream states cannot be read, what was known of it stays"
            );
            Err(Untold)
        }
    }
}
