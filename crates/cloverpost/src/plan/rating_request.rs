//! Answers to be rated.

use cloverpost_core::{evidence, id};
use cloverpost_platform::rating::Verdict;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

/// An answer to be rated.
#[derive(Debug)]
pub struct RatingRequest {
    /// Key that the verdict counts towards.
    pub key: evidence::Key,
    /// Class of the request.
    pub class: id::Class,
    /// Prompt of the request.
    pub prompt: String,
    /// Answer of the model.
    pub answer: String,
    /// Where to send the verdict, if the request waits for it.
    pub reply: Option<oneshot::Sender<Verdict>>,
    /// Permit that bounds concurrent background ratings.
    pub permit: Option<OwnedSemaphorePermit>,
}
