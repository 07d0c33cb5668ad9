//! Request and response of the rating service.

use std::borrow;

use cloverpost_core::id;

use crate::rating::Verdict;

/// Rating request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RatingRequest<'a> {
    /// Class of work.
    pub class: borrow::Cow<'a, id::Class>,
    /// Prompt sent to the model.
    pub prompt: borrow::Cow<'a, str>,
    /// Answer of the model.
    pub answer: borrow::Cow<'a, str>,
}

/// Rating response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RatingResponse {
    /// Verdict on the answer.
    pub verdict: Verdict,
}
