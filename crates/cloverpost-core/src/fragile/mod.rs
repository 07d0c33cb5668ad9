//! Upstreams that fail when they reject too many requests.
//!
//! A fragile upstream states how many rejections a second it survives. The requests that all VMs
//! together have in flight there are bounded by its slots and a part of that number, and a VM does
//! not replace a rejected request for a second, so more rejections cannot come together. VMs
//! agree on their [`Share`]s without coordination, by a hash of upstream and VM.
//!
//! Where there are more VMs than places, many have none. A VM may exceed its share while the upstream
//! has room by the load reports of its availability zone and no VM told of a rejection lately.

mod allowance;
mod load;
mod notice;
mod register;
mod share;

pub use load::Load;
pub use notice::Notice;
pub use register::{Change, Register};
pub use share::Share;
