//! Implementation of text and random identifiers.

use std::fmt;

/// Maximum length of a text identifier, in characters.
pub const MAX_LEN: usize = 64;

/// The error for text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    text: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid identifier `{}`: expected 1 to {MAX_LEN} characters from a-z A-Z 0-9 . _ -",
            self.text.escape_debug()
        )
    }
}

impl std::error::Error for Error {}

/// Returns `text` unchanged if it is a valid identifier.
pub fn check(text: String) -> Result<String, Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid_length = (1..=MAX_LEN).contains(&text.len());
    if valid_length && text.chars().all(allowed) {
        Ok(text)
    } else {
        Err(Error { text })
    }
}

/// Defines a text identifier with its conversions.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::id::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::try_from(text.to_owned())
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::id::Error;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                crate::id::text::check(text).map(|text| Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

/// Defines a random 128-bit identifier, written as 32 hexadecimal digits.
macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl $name {
            /// The identifier of no entity.
            pub const NIL: Self = Self(0);

            /// Generates a random identifier.
            pub fn random(rng: &mut impl rand::Rng) -> Self {
                Self(rng.random())
            }
        }

        impl From<u128> for $name {
            fn from(number: u128) -> Self {
                Self(number)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

pub(crate) use {random_id, text_id};
