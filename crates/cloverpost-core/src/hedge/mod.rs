//! Attempts of one request that run side by side.
//!
//! An upstream that says nothing may have lost power, or may be busy with other requests. A run there is
//! kept until another one has begun in its place, so that a replacement that is not to be had, or that
//! fails, costs the caller nothing. [`Hedge`] tracks the run in use and the attempts beside it, and
//! [`Conditions`] decide whether one more may be sent; the reason why not is a [`Denial`].

mod conditions;
mod denial;
mod state;
mod step;

pub use conditions::Conditions;
pub use denial::Denial;
pub use state::Hedge;
pub use step::Step;
