//! Chat completions.

mod answer;
mod completion;
mod request;
pub(super) mod run;

use sha2::Digest;

pub use answer::Answer;
pub use completion::{Choice, Completion, Message, Usage};
pub use request::Request;

use crate::engine::Target;

/// Word that marks an answer as bad.
pub const BAD_MARKER: &str = "[bad]";

/// Length of a digest in hexadecimal digits.
const DIGEST_LEN: usize = 16;

/// Returns the digest of `messages` and `target`, which is the second word of the answer.
#[must_use]
pub fn digest(messages: &[serde_json::Value], target: &Target) -> String {
    let mut hasher = sha2::Sha256::new();
    hasher.update(target.to_string());
    for message in messages {
        hasher.update(message.to_string());
    }
    let mut text = hex::encode(hasher.finalize());
    text.truncate(DIGEST_LEN);
    text
}
