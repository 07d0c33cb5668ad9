//! Prices of entries.

use crate::measure::Tokens;

/// Number of tokens that a price refers to.
const QUOTED_TOKENS: u64 = 1_000;

crate::number::number! {
    /// Price of 1,000 tokens in micro-units of the operator's currency.
    Price
}

impl Price {
    /// Cost of `tokens` in micro-units, rounded up.
    #[must_use]
    pub const fn of(self, tokens: Tokens) -> u64 {
        self.0.saturating_mul(tokens.get()).div_ceil(QUOTED_TOKENS)
    }
}
