//! What a larger model's answer gains and costs.

use crate::escalation::{Case, Options};

/// Part of the worth that asking again costs whatever the model: a send from the retry
/// budget, and a place on an engine. Without it a free model would be asked although the
/// answer at hand is right 99 times in 100.
const AGAIN: f64 = 0.05;

/// What a larger model's answer would gain and cost, in the unit of models' prices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed {
    /// Worth of the answer times the chance that the small model's is wrong.
    pub gain: f64,
    /// Price, and what the wait shows that others would lose.
    pub cost: f64,
}

impl Weighed {
    /// Whether the larger model should be asked.
    #[must_use]
    pub fn is_worth_it(&self) -> bool {
        self.gain > self.cost
    }
}

/// Weighs a larger model's answer for `case`.
#[must_use]
pub fn weigh(case: &Case, options: &Options) -> Weighed {
    let worth = worth(case.rank, case.usual_size, case.relative_size, options);
    let target = case.target.as_secs_f64().max(f64::MIN_POSITIVE);
    let delay = case.delay.as_secs_f64() / target;
    let lasts = case.lasts.as_secs_f64();
    let risk = AGAIN + options.delay_weight * delay + options.second_weight * lasts;
    Weighed {
        gain: worth * wrong(case.confidence, options),
        cost: options.price_weight * case.price + risk * worth,
    }
}

/// Worth of a right answer.
fn worth(rank: u8, usual_size: f64, relative_size: f64, options: &Options) -> f64 {
    let usual = options.size_worth * usual_size / 1000.0;
    usual * options.rank_part.powi(i32::from(rank)) * relative_size
}

/// Chance that an answer is wrong of which its model has this opinion.
fn wrong(confidence: u8, options: &Options) -> f64 {
    let above = (f64::from(confidence) - options.even) / options.spread;
    1.0 / (1.0 + above.exp())
}
