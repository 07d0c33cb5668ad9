//! Admission of requests before a VM has its first configuration.
//!
//! A VM that starts while the store is unavailable cannot route, but many of its requests have
//! enough time to wait. The [`Queue`] decides for each [`Request`] whether it waits, and until when,
//! or is refused. A request that waits keeps enough of its time to be served, or to be tried at
//! another VM. Waiting requests take a bounded part of the VM's memory, its [`Capacity`].
//!
//! When the configuration arrives, waiting requests are released in order of their remaining time and
//! in batches, so that the upstreams do not receive all of them at once.

mod admission;
mod capacity;
mod outcome;
mod queue;
mod reason;
mod request;
mod retry;
mod summary;
mod ticket;
mod waiter;

pub use admission::Admission;
pub use capacity::Capacity;
pub use outcome::Outcome;
pub use queue::Queue;
pub use reason::Reason;
pub use request::{GRACE, Request};
pub use retry::retry_after;
pub use summary::Summary;
pub use ticket::Ticket;
