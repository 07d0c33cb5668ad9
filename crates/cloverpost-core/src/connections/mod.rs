//! Connections of one VM to upstreams that accept a limited number from all VMs together.
//!
//! An upstream resets the connections beyond its maximum, fewer of them while its own queue is long.
//! [`Bound`] is the part of the maximum that one VM may use, without a message for each connection.
//! [`Register`] counts the connections and decides whether another may be opened; a reset lowers the
//! limit for a while. [`Queue`] orders the requests that wait for a connection, [`Wait`] says for how
//! long they do.

mod bound;
mod decision;
mod demand;
mod queue;
mod reduction;
mod register;
mod ticket;
mod wait;

pub use bound::Bound;
pub use decision::Decision;
pub use demand::Demand;
pub use queue::Queue;
pub use reduction::Reduction;
pub use register::Register;
pub use ticket::Ticket;
pub use wait::Wait;
