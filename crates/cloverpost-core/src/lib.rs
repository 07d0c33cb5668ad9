//! Domain types and decision logic of cloverpost.
//!
//! This crate performs no I/O, reads no clock and spawns no tasks. Decisions are state
//! machines that take an event and the current [`time::Moment`] and return actions for
//! the caller to carry out. Random number generators are passed in, so that runs can be
//! reproduced from a seed.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod admission;
pub mod balance;
pub mod billing;
pub mod budget;
pub mod capacity;
pub mod catalogue;
pub mod choice;
pub mod claim;
pub mod clients;
pub mod cold;
pub mod connections;
mod count;
pub mod directory;
pub mod dispatch;
pub mod escalation;
pub mod evidence;
pub mod exposure;
pub mod fragile;
pub mod hedge;
pub mod id;
pub mod lease;
pub mod limit;
pub mod measure;
pub mod membership;
mod number;
pub mod order;
pub mod overload;
pub mod path;
pub mod plan;
pub mod poison;
pub mod pushback;
pub mod quota;
pub mod refusal;
pub mod rollout;
pub mod session;
pub mod shutdown;
pub mod spread;
pub mod startup;
pub mod throttle;
pub mod time;
