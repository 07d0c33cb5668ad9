//! Upstreams that have just started and bear little.
//!
//! A cold upstream bears some requests a second from all VMs together and falls over above that,
//! whoever sends them. VMs agree on who may send without a message: a few of them, drawn by a hash
//! of upstream and VM, each with an equal part of the rate and none saved up for later. The
//! [`Register`] holds which upstreams are cold, and which may be without having said so: one that
//! took no connection may have started again, and one of a zone that takes work again may be
//! cold before its entry says it.

mod limit;
mod options;
mod register;
mod senders;

pub use limit::Limit;
pub use options::Options;
pub use register::Register;
pub use senders::Senders;
