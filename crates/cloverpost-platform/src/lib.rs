//! Clients of the platform's services, and in-memory fakes for tests.
//!
//! Each service is a trait: [`table::Table`], [`objects::Objects`],
//! [`vms::Vms`], [`weights::Weights`] and [`rating::Rater`]; a [`Platform`] groups
//! one of each. [`http`] implements them as clients of the real services, [`memory`] as in-memory
//! fakes with fault injection.
//!
//! Every error states whether the operation may have taken effect, which determines whether the
//! caller may retry: see [`fault::Effect`].
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod discovery;
pub mod dynamodb;
pub mod fault;
pub mod http;
pub mod memory;
pub mod objects;
mod platform;
pub mod rating;
pub mod table;
pub mod vms;
pub mod weights;

pub use platform::Platform;
