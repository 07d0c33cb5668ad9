//! Generated answers.

use bytes::Bytes;

use crate::engine::Target;
use crate::engine::chat::{self, Choice, Completion, Message, Usage};

/// Last event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Minimum number of words: the version, the digest and [`chat::BAD_MARKER`] or a filler word.
const MIN_WORDS: usize = 3;

/// A generated answer. Each word counts as a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    id: String,
    target: Target,
    words: Vec<String>,
    prompt_tokens: usize,
}

impl Answer {
    /// Generates the answer of `target` to `request` with the request ID `id`.
    #[must_use]
    pub fn new(
        id: &str,
        target: Target,
        request: &chat::Request,
        digest: String,
        bad: bool,
        tokens: usize,
    ) -> Self {
        let limit = request.max_tokens.map_or(tokens, |max| max.min(tokens));
        let mut words = vec![target.to_string(), digest];
        if bad {
            words.push(chat::BAD_MARKER.to_owned());
        }
        let filler = words.len()..limit.max(MIN_WORDS);
        words.extend(filler.map(|index| format!("w{index}")));
        Self {
            id: format!("chatcmpl-{id}"),
            target,
            words,
            prompt_tokens: request.prompt_tokens(),
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn tokens(&self) -> usize {
        self.words.len()
    }

    /// Returns the answer as one completion.
    #[must_use]
    pub fn to_completion(&self) -> Completion {
        let choice = Choice {
            message: Some(Message {
                role: Some("assistant".to_owned()),
                content: Some(self.words.join(" ")),
            }),
            finish_reason: Some("stop".to_owned()),
            ..Choice::default()
        };
        self.completion("chat.completion", choice, Some(self.usage()))
    }

    /// Returns the events of a streamed answer, one per token, and the event that ends it.
    #[must_use]
    pub fn events(&self) -> (Vec<Bytes>, Bytes) {
        let last = self.words.len() - 1;
        let events = (0..=last).map(|index| {
            let mut event = encode_event(&self.chunk(index));
            if index == last {
                event.extend(encode_event(&self.final_chunk()));
            }
            Bytes::from(event)
        });
        (events.collect(), Bytes::from_static(DONE))
    }

    fn chunk(&self, index: usize) -> Completion {
        let space = if index == 0 { "" } else { " " };
        let delta = Message {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: Some(format!("{space}{}", self.words[index])),
        };
        let choice = Choice {
            delta: Some(delta),
            ..Choice::default()
        };
        self.completion("chat.completion.chunk", choice, None)
    }

    fn final_chunk(&self) -> Completion {
        let choice = Choice {
            delta: Some(Message::default()),
            finish_reason: Some("stop".to_owned()),
            ..Choice::default()
        };
        self.completion("chat.completion.chunk", choice, Some(self.usage()))
    }

    fn completion(&self, object: &str, choice: Choice, usage: Option<Usage>) -> Completion {
        Completion {
            id: self.id.clone(),
            object: object.to_owned(),
            created: 0,
            model: self.target.to_string(),
            choices: vec![choice],
            usage,
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.words.len(),
            total_tokens: self.prompt_tokens + self.words.len(),
        }
    }
}

/// Encodes a chunk as a server-sent event.
fn encode_event(chunk: &Completion) -> Vec<u8> {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
