//! Messages of the chat completions API.

/// A completion, or one chunk of a streamed one.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Completion {
    /// ID, derived from the request ID.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Unix timestamp, always 0 so that answers are deterministic.
    pub created: u64,
    /// Version that ran, as `model@version`.
    pub model: String,
    /// Choices, exactly one.
    pub choices: Vec<Choice>,
    /// Token counts, absent from all chunks but the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A choice.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Choice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Message of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Message increment of a chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// `stop` in a completion and in the last chunk.
    pub finish_reason: Option<String>,
}

/// A message, or an increment of one.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Role, always `assistant`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Tokens of the request's messages.
    pub prompt_tokens: usize,
    /// Tokens of the answer.
    pub completion_tokens: usize,
    /// Sum of both.
    pub total_tokens: usize,
}
