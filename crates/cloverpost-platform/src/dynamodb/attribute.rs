//! Attribute values.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;

/// A typed attribute value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Attribute {
    /// A string.
    S(String),
    /// A number in decimal notation.
    N(String),
    /// Binary data in base64.
    B(String),
}

/// An attribute whose type differs from the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypeMismatch {
    expected: &'static str,
}

impl Attribute {
    /// Creates a string attribute.
    #[must_use]
    pub fn text(text: impl Into<String>) -> Self {
        Self::S(text.into())
    }

    /// Creates a number attribute.
    #[must_use]
    pub fn number(number: u64) -> Self {
        Self::N(number.to_string())
    }

    /// Creates a binary attribute.
    #[must_use]
    pub fn bytes(bytes: &[u8]) -> Self {
        Self::B(STANDARD.encode(bytes))
    }

    /// Returns the string, or an error for any other type.
    pub fn into_text(self) -> Result<String, TypeMismatch> {
        match self {
            Self::S(text) => Ok(text),
            _ => Err(TypeMismatch { expected: "a text" }),
        }
    }

    /// Returns the integer, or an error for any other type.
    pub fn to_number(&self) -> Result<u64, TypeMismatch> {
        let number = match self {
            Self::N(digits) => digits.parse().ok(),
            _ => None,
        };
        number.ok_or(TypeMismatch {
            expected: "a number",
        })
    }

    /// Returns the decoded bytes, or an error for any other type.
    pub fn to_bytes(&self) -> Result<Bytes, TypeMismatch> {
        let bytes = match self {
            Self::B(encoded) => STANDARD.decode(encoded).ok(),
            _ => None,
        };
        bytes
            .map(Bytes::from)
            .ok_or(TypeMismatch { expected: "bytes" })
    }
}

impl fmt::Display for TypeMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an attribute is not {}", self.expected)
    }
}

impl std::error::Error for TypeMismatch {}
