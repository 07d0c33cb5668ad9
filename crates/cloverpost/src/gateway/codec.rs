//! Translation between the router and the protocols of callers and upstreams.

use std::time::Duration;

use cloverpost_core::{choice, id, throttle};

/// Decodes requests from callers and responses from upstreams, and encodes requests
/// to upstreams. Implementations make no routing decisions.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    fn decode_request(&self, head: &http::request::Parts) -> Result<RequestHead, Malformed>;

    /// Headers to forward to an upstream with every attempt: the caller's headers
    /// except hop-by-hop headers, the API key and headers that only the router may set.
    fn forwarded_headers(&self, headers: &http::HeaderMap) -> http::HeaderMap;

    /// Adds the headers that are specific to one attempt.
    fn add_attempt_headers(&self, attempt: &Attempt<'_>, headers: &mut http::HeaderMap);

    /// Classifies the response head for the request `id`.
    fn classify_response(&self, id: &str, head: &http::response::Parts) -> Classification;

    /// What the addressed upstream says of itself in a response head to the request `id`; nothing if
    /// the response may be another upstream's.
    fn statements(&self, id: &str, head: &http::response::Parts) -> Statements;

    /// Whether `path` is the readiness probe of this VM.
    fn is_readiness_probe(&self, path: &str) -> bool;
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Request id set by the caller.
    pub id: String,
    /// Time after which the caller stops waiting for the response.
    pub timeout: Option<Duration>,
    /// API key of an organisation.
    pub key: Option<String>,
    /// Session that the request belongs to.
    pub session: Option<u64>,
    /// Parts of the prompt, in order. Requests may have leading parts in common.
    pub prompt: Vec<PromptPart>,
    /// Prompt length and limit of generated tokens.
    pub tokens: Option<TokenCounts>,
    /// The caller's estimate of the number of generated tokens.
    pub expected_tokens: Option<u32>,
    /// Id of the last event of a stream that the caller received.
    pub last_event: Option<String>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size of a request to a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Length of the prompt.
    pub prompt: u32,
    /// Limit of generated tokens.
    pub generated: u32,
}

impl RequestHead {
    /// Length of the prompt in tokens; 0 without a prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        let sum_of_parts = self.prompt.iter().map(|part| part.tokens).sum();
        self.tokens.map_or(sum_of_parts, |tokens| tokens.prompt)
    }

    /// Expected number of generated tokens: the caller's estimate, capped by its limit.
    #[must_use]
    pub fn generated_tokens(&self) -> u32 {
        let max = self.max_tokens();
        let expected = self.expected_tokens.or(max).unwrap_or_default();
        max.map_or(expected, |max| expected.min(max))
    }

    /// Limit of generated tokens, if the caller sets one.
    #[must_use]
    pub fn max_tokens(&self) -> Option<u32> {
        self.tokens.map(|tokens| tokens.generated)
    }

    /// Parts of the prompt that other requests may share. The last part belongs to this request only.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.prompt.len().saturating_sub(1);
        &self.prompt[..shared]
    }

    /// Length of the prompt prefix that other requests may share, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Affinity to upstreams that may have cached the longest shared prefix of the
    /// prompt for `model`. The last part is not shared unless it is the only one.
    #[must_use]
    pub fn affinity(&self, model: Option<&id::Model>) -> Option<choice::Affinity> {
        let last_shared = self.prompt.len().saturating_sub(2);
        let part = self.prompt.get(last_shared)?;
        let model = model.map_or("", id::Model::as_str);
        Some(choice::Affinity::of(
            format!("{:x} {model}", part.hash).as_bytes(),
        ))
    }
}

/// The head of a request could not be decoded, for the given reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Values that one attempt sends to its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The addressed upstream instance; another instance at its address rejects the
    /// request.
    pub upstream: &'a id::Upstream,
    /// Organisation that sent the request.
    pub organisation: Option<&'a id::Organisation>,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Model to use, if the router selects it.
    pub model: Option<&'a id::Model>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the caller received, if the attempt resumes a stream.
    pub last_event: Option<&'a str>,
}

/// What an upstream says of itself in one response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statements {
    /// Requests per second that it takes from all VMs together.
    pub rate_limit: Stated<throttle::Rate>,
    /// Rejections per second that it survives.
    pub rejection_limit: Stated<throttle::Rate>,
    /// Whether it leaves.
    pub leaving: Stated<bool>,
    /// Time for which it wants no request from this VM.
    pub rest: Stated<Duration>,
}

/// A value that an upstream may state in one response.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stated<T> {
    /// The response has no such value.
    #[default]
    Absent,
    /// The value.
    Value(T),
    /// The text is no such value, so the response says nothing about it.
    Malformed(String),
}

/// Classification of a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The upstream was at capacity and did not run the request.
    AtCapacity,
    /// Another instance runs at the address; it did not run the request.
    InstanceReplaced,
    /// The upstream ran the request successfully.
    Succeeded {
        /// Confidence that the model reports for its response, 0 to 100.
        confidence: Option<u8>,
    },
    /// The upstream ran the request and failed.
    Failed,
    /// The response belongs to another request or is corrupt, so it is unknown
    /// whether the request ran.
    Mismatched,
}
