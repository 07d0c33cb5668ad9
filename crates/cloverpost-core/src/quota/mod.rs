//! Parts of a request rate that an upstream sustains from all VMs together.
//!
//! VMs agree without coordination on who may send: the [`Senders`] of an upstream are selected by
//! a hash of upstream and VM. Each sender has an equal part of the rate and counts its
//! [`RecentSends`], so the sum over all VMs stays within the rate whatever their number.

mod recent_sends;
mod senders;

pub use recent_sends::RecentSends;
pub use senders::Senders;
