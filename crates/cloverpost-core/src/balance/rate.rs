//! How long models take to read prompts and to write answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Seconds for a token until something is learnt: that of a fast engine.
const START: f64 = 0.000_01;
/// Bounds of what is believed of a model, in seconds a token.
const BOUNDS: (f64, f64) = (0.000_000_5, 0.000_2);
/// Part of a new answer in the mean.
const PART: f64 = 0.05;
/// Time to a first token that does not depend on the prompt, in seconds.
const FIXED: f64 = 0.05;
/// Shortest prompt that tells something, in tokens.
const LEAST: u32 = 500;

/// Seconds for a generated token until something is learnt: that of a large model. Taken
/// for faster, it would be asked where its answer can't end in time.
const PACE_START: f64 = 0.012;
/// Bounds of what is believed of a model, in seconds for a generated token.
const PACE_BOUNDS: (f64, f64) = (0.000_1, 0.2);
/// Fewest tokens of an answer that tell something of the pace.
const PACE_LEAST: u32 = 50;

/// Seconds for a token that is read and for one that is generated, by model, learnt
/// from answers.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    seconds: HashMap<Option<id::Model>, f64>,
    paces: HashMap<Option<id::Model>, f64>,
}

impl Rate {
    /// Seconds that `model` takes to read `tokens`.
    #[must_use]
    pub fn work(&self, model: Option<&id::Model>, tokens: u32) -> f64 {
        let seconds = self.seconds.get(&model.cloned()).copied();
        seconds.unwrap_or(START) * f64::from(tokens)
    }

    /// Takes in an answer that began `took` seconds after its prompt of `tokens` was
    /// sent to an upstream on which nothing of this VM waited.
    ///
    /// Other VMs' requests make it late now and then, so one that is far off moves
    /// the mean no further than twice.
    pub fn learn(&mut self, model: Option<&id::Model>, tokens: u32, took: f64) {
        if tokens < LEAST {
            return;
        }
        let found = (took - FIXED).max(0.0) / f64::from(tokens);
        let seconds = self.seconds.entry(model.cloned()).or_insert(START);
        let found = found.min(*seconds * 2.0);
        *seconds = (*seconds + (found - *seconds) * PART).clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Time that `model` takes to generate `tokens`.
    #[must_use]
    pub fn lasts(&self, model: Option<&id::Model>, tokens: u32) -> Duration {
        let pace = self.paces.get(&model.cloned()).copied();
        Duration::from_secs_f64(pace.unwrap_or(PACE_START) * f64::from(tokens))
    }

    /// Takes in an answer of about `tokens` that took `took` from its head to its end.
    ///
    /// Callers' guesses of the length are right in the middle and far off at times, so
    /// one that is far off moves the mean no further than twice.
    pub fn learn_pace(&mut self, model: Option<&id::Model>, tokens: u32, took: Duration) {
        if tokens < PACE_LEAST {
            return;
        }
        let pace = self.paces.entry(model.cloned()).or_insert(PACE_START);
        let found = (took.as_secs_f64() / f64::from(tokens)).min(*pace * 2.0);
        *pace = (*pace + (found - *pace) * PART).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
    }
}
