//! The demo and the benchmarks.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod caller;
pub mod demo;
pub mod hop;
pub mod policy;
pub mod site;
pub mod slopes;
