//! The service that rates model answers.
//!
//! The protocol is specific to cloverpost: `POST /rate` with a JSON [`RatingRequest`], to which the
//! service responds with a JSON [`RatingResponse`].

mod message;

pub use message::{RatingRequest, RatingResponse};

use std::future::Future;

use cloverpost_core::id;

use crate::fault;

/// Verdict on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The answer is acceptable.
    Pass,
    /// The answer is not acceptable.
    Fail,
}

/// A rating service.
pub trait Rater: Clone + Send + Sync + 'static {
    /// Rates a model's `answer` to `prompt` for work of `class`.
    fn rate(
        &self,
        class: &id::Class,
        prompt: &str,
        answer: &str,
    ) -> impl Future<Output = Result<Verdict, fault::Fault>> + Send;
}
