//! Stand-in for the platform: table, object store, VM list, weight store and rating service.
//!
//! One server implements the protocols used by `cloverpost_platform::http` on top of the in-memory
//! services. A client is identified by its `X-Client` header.
//!
//! A fault without effect is reported as the real service would: with a throttling error by the
//! table and the object store, and with status 503 by the others. A fault with unknown effect closes
//! the connection without a response. A received request is completed even if its client
//! disconnects.
//!
//! The control interface exists only in the stand-in:
//!
//! | request | effect |
//! |---|---|
//! | `POST /faults` | configures faults, see [`Faults`] |
//! | `PUT /vms` | replaces the VM list with a list in the format of `GET /vms` |
//! | `POST /vms` | adds one group in that format |
//! | `DELETE /vms/{name}` | removes a VM from the list |
//! | `POST /vms/{name}/leaving` | marks a VM as leaving |

mod control;
mod faults;
mod objects;
mod rating;
mod reply;
mod route;
mod server;
mod table;
mod vms;
mod weights;

pub use faults::{Faults, Loss, Service};
pub use server::Server;
