//! Claims of idempotency keys: at most one run of a non-idempotent request.
//!
//! A VM claims the key in the table before it dispatches the request. The claim
//! is a [`Row`] written conditionally, so only one of the requests with the same
//! key is granted, whichever VMs they arrive on. The row later stores the answer,
//! which is replayed to repeated requests.
//!
//! ```text
//! absent ──take──> running ──settle──> done
//!                     │  ├───settle──> released ──take──> running (another request)
//!                     │  └─claimant dead─> unknown ──settle by the claimant──> done, released
//! ```
//!
//! [`take::Take`] and [`settle::Settle`] are state machines without I/O; the caller
//! makes the reads and writes that they return. Rows are not deleted before their
//! retention period ends: a new row would start at version 1 again, and a delayed
//! write could then overwrite a later claim of the same key.

mod answer;
mod backoff;
mod claimant;
mod key;
mod liveness;
mod precondition;
mod request_hash;
mod row;
pub mod settle;
mod state;
pub mod take;

pub use answer::{Answer, Body, Header};
pub use backoff::Backoff;
pub use claimant::Claimant;
pub use key::Key;
pub use liveness::Liveness;
pub use precondition::Precondition;
pub use request_hash::RequestHash;
pub use row::{Error, Row, VersionedRow};
pub use state::State;
