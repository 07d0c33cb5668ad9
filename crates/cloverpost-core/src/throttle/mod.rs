//! Rate limits that upstreams state in their responses.
//!
//! An upstream in need states the requests per second that it takes from all VMs together, for as
//! long as its responses say so. The [`Register`] tracks what each upstream stated last.

mod rate;
mod register;

pub use rate::{ParseRate, Rate};
pub use register::{Change, Register};
