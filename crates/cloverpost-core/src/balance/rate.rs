//! How long models take to read prompts and to write answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Seconds for a token until something is learnt: that of a fast engine.
const START: f64 = 0.000_01;
/// Bounds of what is believed of a model, in seconds a token.
const BOUNDS: (f64, f64) = (0.000_000_5, 0.000_2);
/// Part of a new answer in the mean, once some are known.
const PART: f64 = 0.05;
/// Time to a first token that does not depend on the prompt, in seconds.
const FIXED: f64 = 0.05;
/// Shortest prompt that tells something, in tokens.
const LEAST: u32 = 500;

/// Seconds for a generated token until something is learnt: that of a large model on an engine
/// with room. Taken for slower, no long answer is asked of it for the seconds that a VM needs to
/// learn better, and those are worth most; taken for faster, it would be asked where its answer
/// can't end in time.
const PACE_START: f64 = 0.008;
/// Bounds of what is believed of a model, in seconds for a generated token.
const PACE_BOUNDS: (f64, f64) = (0.000_1, 0.2);
/// Fewest tokens of an answer that tell something of the pace.
const PACE_LEAST: u32 = 50;

/// A mean that forgets.
///
/// The first figures count for more. A VM asks a large model once in a second; with each
/// figure a twentieth of the mean it took half a minute to learn that such a model reads
/// three times as slowly as believed, and until then piled long prompts on one engine.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    seen: u32,
}

impl Mean {
    const fn new(value: f64) -> Self {
        Self { value, seen: 0 }
    }

    /// Takes in a figure, at most twice the mean, within `bounds`.
    fn take(&mut self, found: f64, bounds: (f64, f64)) {
        self.seen = self.seen.saturating_add(1);
        let part = (1.0 / f64::from(self.seen + 1)).max(PART);
        let found = found.min(self.value * 2.0);
        self.value = (self.value + (found - self.value) * part).clamp(bounds.0, bounds.1);
    }
}

/// Seconds for a token that is read and for one that is generated, by model, learnt
/// from answers.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    seconds: HashMap<Option<id::Model>, Mean>,
    paces: HashMap<Option<id::Model>, Mean>,
}

impl Rate {
    /// Seconds that `model` takes to read `tokens`.
    #[must_use]
    pub fn work(&self, model: Option<&id::Model>, tokens: u32) -> f64 {
        let mean = self.seconds.get(&model.cloned());
        mean.map_or(START, |mean| mean.value) * f64::from(tokens)
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
        let mean = self.seconds.entry(model.cloned());
        mean.or_insert(Mean::new(START)).take(found, BOUNDS);
    }

    /// Time that `model` takes to generate `tokens`.
    #[must_use]
    pub fn lasts(&self, model: Option<&id::Model>, tokens: u32) -> Duration {
        let mean = self.paces.get(&model.cloned());
        let pace = mean.map_or(PACE_START, |mean| mean.value);
        Duration::from_secs_f64(pace * f64::from(tokens))
    }

    /// Takes in an answer of about `tokens` that took `took` from its head to its end.
    ///
    /// Callers' guesses of the length are right in the middle and far off at times, so
    /// one that is far off moves the mean no further than twice.
    pub fn learn_pace(&mut self, model: Option<&id::Model>, tokens: u32, took: Duration) {
        if tokens < PACE_LEAST {
            return;
        }
        let found = took.as_secs_f64() / f64::from(tokens);
        let mean = self.paces.entry(model.cloned());
        mean.or_insert(Mean::new(PACE_START))
            .take(found, PACE_BOUNDS);
    }
}
