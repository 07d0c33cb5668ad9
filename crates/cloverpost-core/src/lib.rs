//! Domain types and every decision of cloverpost.
//!
//! Nothing here opens a socket, reads a file or a clock, or starts a task. A
//! decision is a state machine: it takes its state, an event and the present
//! [`time::Moment`], and returns actions for the layer around it. Randomness is
//! passed in, so that a seed reproduces a run.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

pub mod balance;
pub mod billing;
pub mod budget;
pub mod capacity;
pub mod catalogue;
pub mod choice;
pub mod claim;
pub mod cold;
pub mod directory;
pub mod dispatch;
pub mod escalation;
pub mod evidence;
pub mod exposure;
pub mod id;
pub mod lease;
pub mod limit;
pub mod measure;
pub mod membership;
mod number;
pub mod order;
pub mod overload;
pub mod plan;
pub mod poison;
pub mod refusal;
pub mod rollout;
pub mod session;
pub mod spread;
pub mod time;
