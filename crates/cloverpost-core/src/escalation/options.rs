//! Weights of the choice between models.

/// Weights of the choice between models. Operators set them; the defaults come from the
/// worth and prices that three deployments state, and from plays of their days.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Worth of a right answer on a route of rank 0, in the unit of models' prices, for each 1,000
    /// of the usual size of the route's requests: tokens read, and ten for each generated. Rank
    /// alone does not do: where short summaries rank before long briefs, operators state a fourth
    /// of the briefs' worth for them.
    pub size_worth: f64,
    /// Worth of a right answer against one of the same size of the rank before.
    pub rank_part: f64,
    /// Opinion at which half the answers are wrong. On quiet days the credit grew by the
    /// whole worth of each answer asked again below 40, and no more above 60.
    pub even: f64,
    /// How sharply opinions tell right from wrong: 73 in 100 are right this far above
    /// [`Self::even`].
    pub spread: f64,
    /// Weight of the price against the worth of the answer.
    pub price_weight: f64,
    /// Weight of the waiting time, as a part of the target, against the worth.
    pub delay_weight: f64,
    /// Part of the worth that each second costs for which the larger model's answer runs.
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
