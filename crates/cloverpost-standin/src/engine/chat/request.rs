//! Chat requests.

use serde_json::Value;

/// The fields of a chat request that the stand-in uses.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Model, or `model@version`.
    pub model: String,
    /// Version, if `model` does not include it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Messages of the conversation.
    pub messages: Vec<Value>,
    /// Whether to stream the answer as events.
    #[serde(default)]
    pub stream: bool,
    /// Priority in the queue. Lower values run first.
    #[serde(default)]
    pub priority: i64,
    /// Maximum number of tokens of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<usize>,
}

impl Request {
    /// Returns the requested version as `model@version`, or the model if no version is given.
    #[must_use]
    pub fn target(&self) -> String {
        match &self.version {
            Some(version) => format!("{}@{version}", self.model),
            None => self.model.clone(),
        }
    }

    /// Returns the number of words of the messages, each of which counts as a token.
    #[must_use]
    pub fn prompt_tokens(&self) -> usize {
        let contents = self.messages.iter().filter_map(|m| m["content"].as_str());
        contents.map(|text| text.split_whitespace().count()).sum()
    }
}
