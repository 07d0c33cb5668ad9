//! Expected gain and cost of an escalation.

use crate::escalation::{Inputs, Options};

/// Fixed cost of an escalation, as a fraction of the worth, for the retry credit and the engine
/// slot. Prevents escalation of near-certain answers to a model that has no price.
const FIXED_COST: f64 = 0.05;

/// Expected gain and cost of an escalation, in the unit of model prices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Worth of the answer times the probability that the small model's answer is wrong.
    pub gain: f64,
    /// Weighted price of the larger model's answer, plus the fixed cost and the estimated cost of
    /// delaying other requests.
    pub cost: f64,
}

impl Estimate {
    /// Whether the gain exceeds the cost.
    #[must_use]
    pub fn is_worthwhile(&self) -> bool {
        self.gain > self.cost
    }
}

/// Estimates gain and cost of the escalation of `inputs`.
#[must_use]
pub fn estimate(inputs: &Inputs, options: &Options) -> Estimate {
    let worth = worth(
        inputs.rank,
        inputs.usual_size,
        inputs.relative_size,
        options,
    );
    let target = inputs.target.as_secs_f64().max(f64::MIN_POSITIVE);
    let delay = inputs.queueing_delay.as_secs_f64() / target;
    let response_seconds = inputs.response_duration.as_secs_f64();
    let cost_fraction =
        FIXED_COST + options.delay_weight * delay + options.second_weight * response_seconds;
    Estimate {
        gain: worth * error_probability(inputs.confidence, options),
        cost: options.price_weight * inputs.price + cost_fraction * worth,
    }
}

/// Worth of a correct answer.
fn worth(rank: u8, usual_size: f64, relative_size: f64, options: &Options) -> f64 {
    let base = options.size_worth * usual_size / 1000.0;
    base * options.rank_part.powi(i32::from(rank)) * relative_size
}

/// Probability that an answer with this confidence is wrong.
fn error_probability(confidence: u8, options: &Options) -> f64 {
    let distance = (f64::from(confidence) - options.even) / options.spread;
    1.0 / (1.0 + distance.exp())
}
