//! What callers and upstreams speak.

use std::time::Duration;

use cloverpost_core::{choice, id};

/// Reads requests of callers and answers of upstreams, and writes what goes to
/// upstreams. It translates and decides nothing.
pub trait Codec: Send + Sync + 'static {
    /// What the head of a caller's request asks for.
    fn asked(&self, head: &http::request::Parts) -> Result<Asked, Malformed>;

    /// Headers that an upstream gets for every attempt of a request: the caller's
    /// own, without those that concern one connection, the caller's key, and
    /// those that only the router sets.
    fn forwarded(&self, headers: &http::HeaderMap) -> http::HeaderMap;

    /// Adds what one attempt tells its upstream.
    fn mark(&self, attempt: &Attempt<'_>, headers: &mut http::HeaderMap);

    /// What the head of an answer says of the request `id`.
    fn verdict(&self, id: &str, head: &http::response::Parts) -> Verdict;

    /// Whether `path` asks if this VM is ready.
    fn is_readiness(&self, path: &str) -> bool;
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Identity of the request, as the caller gave it.
    pub id: String,
    /// Time that the caller waits.
    pub patience: Option<Duration>,
    /// Key of an organisation.
    pub key: Option<String>,
    /// Number of the session that it belongs to.
    pub session: Option<u64>,
    /// Parts of the prompt, in order, that other requests may share.
    pub prompt: Vec<Part>,
    /// Tokens of the prompt and tokens generated at most.
    pub tokens: Option<Tokens>,
    /// Tokens that the caller expects to be generated; often far off.
    pub expected: Option<u32>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<String>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of its content.
    pub hash: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Size of a request to a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Of the prompt.
    pub prompt: u32,
    /// Generated at most.
    pub generated: u32,
}

impl Asked {
    /// Tokens of the prompt; 0 if it has none.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        let parts = self.prompt.iter().map(|part| part.tokens).sum();
        self.tokens.map_or(parts, |tokens| tokens.prompt)
    }

    /// Tokens that the answer is likely to have. Callers guess, and some guess more than they
    /// let it have.
    #[must_use]
    pub fn generated_tokens(&self) -> u32 {
        let most = self.most_tokens();
        let expected = self.expected.or(most).unwrap_or_default();
        most.map_or(expected, |most| expected.min(most))
    }

    /// Tokens that the answer has at most, if the caller says so.
    #[must_use]
    pub fn most_tokens(&self) -> Option<u32> {
        self.tokens.map(|tokens| tokens.generated)
    }

    /// Tokens at the start of the prompt that other requests share.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.prompt.len().saturating_sub(1);
        self.prompt[..shared].iter().map(|part| part.tokens).sum()
    }

    /// What an upstream may remember of an earlier request for `model`: the
    /// longest start of the prompt that others share. The last part is the
    /// request's own, unless it is the only one.
    #[must_use]
    pub fn affinity(&self, model: Option<&id::Model>) -> Option<choice::Affinity> {
        let shared = self.prompt.len().saturating_sub(2);
        let part = self.prompt.get(shared)?;
        let model = model.map_or("", id::Model::as_str);
        Some(choice::Affinity::of(
            format!("{:x} {model}", part.hash).as_bytes(),
        ))
    }
}

/// A request that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What one attempt tells its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The incarnation that is meant; another one at its address refuses.
    pub upstream: &'a id::Upstream,
    /// Whose request it is.
    pub organisation: Option<&'a id::Organisation>,
    /// Time that the upstream has.
    pub left: Duration,
    /// Model that answers, if the router chooses it.
    pub model: Option<&'a id::Model>,
    /// Rank; 0 is first.
    pub priority: u8,
    /// Last event that the caller has, if the attempt goes on with a stream.
    pub last_event: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream says that it did not run the request: it has no place.
    Full,
    /// The upstream at the address is another incarnation and did not run it.
    Replaced,
    /// A success of the request that was sent.
    Succeeded {
        /// The model's own opinion of its answer, 0 to 100.
        confidence: Option<u8>,
    },
    /// The upstream ran the request and failed.
    Failed,
    /// The answer to something else, or spoilt: nothing is known of the request.
    Foreign,
}
