//! Rate limits that upstreams state in their responses.
//!
//! An upstream in need states the requests per second that it takes from all VMs together, for as
//! long as its responses say so. Each VM sends at most its [`Allotment`]: a number of senders,
//! selected by a hash, pace equal parts of the rate, and start at different times.
//!
//! The [`Register`] tracks what each upstream stated last, according to its responses to this VM
//! and to [`Notice`]s of other VMs, which it needs: a VM that is no sender gets no responses that
//! tell it that the limit has ended. After the end the rate is raised in steps, so that an upstream
//! whose responses state the limit only now and then is not overrun.

mod allotment;
mod notice;
mod options;
mod pacer;
mod rate;
mod register;
mod returns;
mod status;

pub use allotment::Allotment;
pub use notice::Notice;
pub use options::Options;
pub use rate::{ParseRate, Rate};
pub use register::{Change, Register};
pub use returns::Returns;
