//! Settings of the escalation decision.

/// Weights of the escalation decision, set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Worth of a correct answer on a route of rank 0 per 1,000 tokens of the route's mean request
    /// size, in the unit of model prices. A generated token counts as ten prompt tokens.
    pub size_worth: f64,
    /// Factor applied to the worth for each further rank.
    pub rank_part: f64,
    /// Confidence at which half the answers are wrong.
    pub even: f64,
    /// Scale of the logistic function from confidence to error probability: 73 % of the answers
    /// are correct at this distance above [`Self::even`].
    pub spread: f64,
    /// Weight of the price relative to the worth of the answer.
    pub price_weight: f64,
    /// Weight of the queueing delay, as a fraction of the target, relative to the worth.
    pub delay_weight: f64,
    /// Cost of each second of the larger model's answer, as a fraction of the worth.
    pub second_weight: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            size_worth: 0.4,
            rank_part: 0.6,
            even: 46.0,
            spread: 5.0,
            price_weight: 0.8,
            delay_weight: 6.0,
            second_weight: 0.05,
        }
    }
}
