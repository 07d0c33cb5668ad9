//! Clients of the platform's services over HTTP.
//!
//! | service | protocol |
//! |---|---|
//! | [`Table`] | subset of the `DynamoDB` JSON interface, see [`crate::dynamodb`] |
//! | [`Objects`] | S3: `GET`, and `PUT` with `If-None-Match: *` |
//! | [`Vms`] | Prometheus HTTP service discovery, see [`crate::discovery`] |
//! | [`Weights`] | `POST /weights/{model}/{version}`: 204, or 429 with `Retry-After` |
//! | [`Rater`] | specific to cloverpost, see [`crate::rating`] |
//!
//! Requests are sent over plain TCP and are not signed with `SigV4`. The platform must be reached over
//! a private network or through a signing proxy.
//!
//! A failed write is reported as without effect only if that is certain: the connection could not be
//! established, or the service rejected the request. Any other failure, such as a timeout, a
//! connection reset or a 5xx status, has unknown effect. A failed read never has an effect. The
//! clients do not retry.

mod client;
mod objects;
mod options;
mod platform;
mod rater;
mod table;
mod vms;
mod weights;

pub use client::CLIENT_HEADER;
pub use objects::Objects;
pub use options::Options;
pub use platform::Platform;
pub use rater::Rater;
pub use table::Table;
pub use vms::Vms;
pub use weights::Weights;
