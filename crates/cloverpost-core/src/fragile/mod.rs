//! Upstreams that fail when they reject too many requests.
//!
//! A fragile upstream states how many rejections a second it survives. The requests that all VMs
//! together have in flight there are bounded by its slots and a part of that number, and a VM does
//! not replace a rejected request for a second, so more rejections cannot come together. VMs
//! agree on their [`Share`]s without coordination, by a hash of upstream and VM.

mod allowance;
mod register;
mod share;

pub use register::{Change, Register};
pub use share::Share;
