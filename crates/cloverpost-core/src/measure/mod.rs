//! Typed quantities: prices, qualities and token counts.
//!
//! Each wraps an integer, so that units cannot be confused and billing sums are exact.

mod price;
mod quality;
mod tokens;

pub use price::Price;
pub use quality::Quality;
pub use tokens::Tokens;
