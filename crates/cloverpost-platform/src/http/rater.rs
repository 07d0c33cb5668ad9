//! Client of the rating service.

use std::borrow;

use cloverpost_core::id;
use hyper::{Method, Uri};

use crate::fault;
use crate::http::{Options, client};
use crate::rating::{self, RatingRequest, RatingResponse, Verdict};

/// Client of the rating service.
#[derive(Clone, Debug)]
pub struct Rater(client::Client);

impl Rater {
    /// Creates a client of the rating service under `base`.
    #[must_use]
    pub fn new(base: Uri, options: Options) -> Self {
        Self(client::Client::new(base, options))
    }

    async fn post(&self, rating: &RatingRequest<'_>) -> Result<RatingResponse, fault::Fault> {
        let (name, json) = client::JSON_CONTENT_TYPE;
        let request = self.0.request(Method::POST, "/rate").header(name, json);
        let response = self.0.send(request, client::encode(rating)?).await?;
        client::parse_json(&response)
    }
}

impl rating::Rater for Rater {
    async fn rate(
        &self,
        class: &id::Class,
        prompt: &str,
        answer: &str,
    ) -> Result<Verdict, fault::Fault> {
        let request = RatingRequest {
            class: borrow::Cow::Borrowed(class),
            prompt: prompt.into(),
            answer: answer.into(),
        };
        let response = self.post(&request).await.map_err(client::without_effect)?;
        Ok(response.verdict)
    }
}
