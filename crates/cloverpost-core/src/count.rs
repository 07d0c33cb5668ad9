//! Conversions between counts and floating-point numbers.

/// The integer part of `number`; 0 if it is negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
pub fn floor(number: f64) -> usize {
    number.max(0.0) as usize
}

/// `count` as a number. Counts are far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub fn to_f64(count: usize) -> f64 {
    count as f64
}
