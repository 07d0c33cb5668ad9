//! Token counts.

crate::number::number! {
    /// A number of tokens.
    Tokens
}
