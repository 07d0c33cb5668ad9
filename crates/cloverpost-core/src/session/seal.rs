//! Encoding and sealing of tokens.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Mac;

use crate::session::{Keys, Token};

impl Keys {
    /// Encodes and seals `token`. The result is safe in URLs and headers.
    ///
    /// # Panics
    ///
    /// Never: every token can be encoded.
    #[must_use]
    pub fn seal(&self, token: &Token) -> String {
        let mut bytes = bincode::serde::encode_to_vec(token, bincode::config::standard())
            .expect("every token can be encoded");
        let mac = self.current.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }
}
