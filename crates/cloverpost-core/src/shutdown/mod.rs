//! Requests beside the planned end of a VM.
//!
//! A VM that is told to stop serves on for a while, and then its process ends. A request that is passed
//! on too late for that is cut, and its caller cannot know whether it ran. [`End`] decides what is still
//! begun: only what is expected to be over in time, or whose deadline comes first. [`Durations`] knows how
//! long requests take.

mod durations;
mod end;
mod recent;

pub use durations::Durations;
pub use end::End;
