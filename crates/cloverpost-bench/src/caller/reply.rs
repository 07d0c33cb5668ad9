//! Replies of the router.

use bytes::Bytes;

/// Last event of a complete stream.
const END_OF_STREAM: &str = "data: [DONE]";

/// A response or a refusal.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response body; empty if it was truncated.
    pub body: Bytes,
    headers: http::HeaderMap,
    complete: bool,
}

impl Reply {
    pub(super) fn new(head: http::response::Parts, body: Bytes, complete: bool) -> Self {
        Self {
            status: head.status.as_u16(),
            body,
            headers: head.headers,
            complete,
        }
    }

    /// Returns the value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns whether the status is 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the whole body was received, including the end marker of a stream.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let stream = self.header("content-type") == Some("text/event-stream");
        self.complete && (!stream || self.text_body().trim_end().ends_with(END_OF_STREAM))
    }

    /// Returns the generated text, whether streamed or not.
    #[must_use]
    pub fn content(&self) -> String {
        let text = self.text_body();
        if let Ok(whole) = serde_json::from_str::<serde_json::Value>(&text) {
            let content = whole["choices"][0]["message"]["content"].as_str();
            return content.unwrap_or_default().to_owned();
        }
        text.lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter_map(|chunk| {
                let content = chunk["choices"][0]["delta"]["content"].as_str();
                content.map(str::to_owned)
            })
            .collect()
    }

    fn text_body(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
