//! Pushback: upstreams that ask a VM to send them nothing.
//!
//! An upstream that leaves says so in its responses, for good. One that rejects a request may ask
//! for rest: no request from this VM for a while. Both hold for one process of the upstream and end
//! with it.
//!
//! The [`Register`] tracks what upstreams asked of this VM. All VMs that an upstream turns away in one
//! moment would return in one moment too, so each waits a random part longer. It then sends one
//! request, and doubles the number in steps until it sends as usual.

mod block;
mod notice;
mod register;
mod rest;

pub use block::Block;
pub use notice::Notice;
pub use register::Register;
