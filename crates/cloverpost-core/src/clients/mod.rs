//! Connections of clients of one VM, bounded in number and memory.
//!
//! A client takes memory before anything is known about it: buffers for its head and body, or only an
//! open connection. [`Register`] knows what each connection holds. When a limit is reached, it names
//! the connections to close: those first that have been in their [`Stage`] for longest. A client that
//! sends at once is served in the shortest time, so one that arrives during an attack is not among
//! them. [`Shares`] divides the memory of a VM.

mod connection;
mod limits;
mod order;
mod register;
mod shares;
mod stage;

pub use connection::Connection;
pub use limits::Limits;
pub use order::Order;
pub use register::{Outcome, Register};
pub use shares::{PENDING_BYTES, Shares};
pub use stage::Stage;
