//! Admission of requests to upstreams, by what these say of themselves.
//!
//! Upstreams ask for no requests ([`crate::pushback`]), state a rate ([`crate::throttle`]) or how many
//! rejections they survive ([`crate::fragile`]), and are cold after a start ([`crate::cold`]). The
//! [`Register`] holds all of that, and a [`Gate`] decides by it for one service at one moment, so that
//! every way to an upstream asks one question. What an upstream states binds always; what it is only
//! suspected of binds while others are left.

mod gate;
mod register;

pub use gate::Gate;
pub use register::Register;
