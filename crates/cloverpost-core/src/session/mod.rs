//! Sealed session tokens.
//!
//! The first answer to a caller carries a token with its organisation, entry and
//! version, authenticated by an HMAC. VMs are configured with the same key, so any of
//! them accepts a token without shared state. Tokens are authenticated but not
//! encrypted.
//!
//! A session is bound to one version. Changing the version of an entry therefore ends
//! its sessions, as withdrawing it does.

pub mod admit;
mod key;
mod keys;
pub mod open;
mod seal;
mod token;

pub use admit::admit;
pub use key::{Key, ParseKeyError};
pub use keys::Keys;
pub use token::Token;
