//! Rate limiting of upstreams that have just started.
//!
//! A cold upstream sustains a limited number of requests per second from all VMs together and
//! fails above it. VMs agree without coordination on a few senders, selected by a hash of upstream
//! and VM, each with an equal part of the rate and no burst allowance. The [`Register`] tracks the
//! upstreams that are cold according to the directory and those suspected to be: an upstream that
//! refused a connection may have restarted, and upstreams of a zone whose evacuation ended may be
//! cold before their entries say so.

mod limit;
mod options;
mod register;

pub use limit::Limit;
pub use options::Options;
pub use register::Register;
