//! Limits that upstreams state in their responses.

use cloverpost_core::{directory, throttle};

use crate::gateway::codec::StatedLimit;
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
    stated: StatedLimit,
    is_rejection: bool,
) -> Result<Option<throttle::Rate>, Untold> {
    match stated {
        StatedLimit::Absent if is_rejection => Err(Untold),
        StatedLimit::Absent => Ok(None),
        StatedLimit::Rate(rate) => Ok(Some(rate)),
        StatedLimit::Malformed(value) => {
            log::warn!(
                id = job.head.id.as_str(), upstream = upstream.id.as_str(), value;
                "a limit that the upstream states cannot be read, what was known of it stays"
            );
            Err(Untold)
        }
    }
}
