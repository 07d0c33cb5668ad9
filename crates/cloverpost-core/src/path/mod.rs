//! Paths from a VM to upstreams: its own, and through other VMs.
//!
//! A VM may lose its path to some or all upstreams while callers, other VMs and the store still
//! reach it. It cannot tell that from the loss of the upstream by itself; a VM whose connection
//! succeeds can. [`Register`] holds the upstreams whose direct path is known to be broken since
//! another VM reached them, and when to try it again. [`Helpers`] ranks the VMs to ask.

mod helpers;
mod register;

pub use helpers::{Answer, Helpers};
pub use register::Register;
