//! In-memory fakes of the services, with fault injection.
//!
//! Each service is a cheaply cloned handle to shared state. [`Table::client`] and its counterparts
//! return the view of a named client, so that a test can disconnect one VM and not the others. Views
//! of the same name share their faults. `faults()` of a view affects that client only, `faults()` of
//! the service affects all clients.
//!
//! Delays, the lag of the VM list and the rate limit of the weight store use the tokio clock, which
//! tests can pause.

mod connection;
mod faults;
mod lock;
mod objects;
mod platform;
mod rater;
mod table;
mod vms;
mod weights;

pub use faults::{Calls, Faults};
pub use objects::Objects;
pub use platform::Platform;
pub use rater::{FAIL_MARKER, Rater};
pub use table::Table;
pub use vms::Vms;
pub use weights::Weights;
