//! Prompt processing and generation speed of models, estimated from responses.

use std::collections::HashMap;
use std::time::Duration;

use crate::id;

/// Initial estimate of the seconds per prompt token.
const INITIAL_PREFILL: f64 = 0.000_01;
/// Bounds of the seconds per prompt token.
const PREFILL_BOUNDS: (f64, f64) = (0.000_000_5, 0.000_2);
/// Minimum weight of a new sample in a moving average.
const MIN_WEIGHT: f64 = 0.05;
/// Part of the time to first token that does not depend on the prompt, in seconds.
const BASE_LATENCY: f64 = 0.05;
/// Tokens below which a prompt is too short to sample.
const MIN_PROMPT_TOKENS: u32 = 500;

/// Initial estimate of the seconds per generated token, typical of a large model on an idle
/// engine. An estimate that is too high rejects long answers that would complete in time; one
/// that is too low accepts answers that would not.
const INITIAL_DECODE: f64 = 0.008;
/// Bounds of the seconds per generated token.
const DECODE_BOUNDS: (f64, f64) = (0.000_1, 0.2);
/// Tokens below which an answer is too short to sample.
const MIN_ANSWER_TOKENS: u32 = 50;

/// Moving average in which the first samples have a higher weight, so that it converges
/// quickly for rarely used models.
#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    value: f64,
    samples: u32,
}

impl MovingAverage {
    const fn new(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    /// Adds a sample, capped at twice the current average, and clamps the result to `bounds`.
    fn add(&mut self, sample: f64, bounds: (f64, f64)) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples + 1)).max(MIN_WEIGHT);
        let sample = sample.min(self.value * 2.0);
        self.value = (self.value + (sample - self.value) * weight).clamp(bounds.0, bounds.1);
    }
}

/// Estimated seconds per prompt token and per generated token of each model.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    prefill: HashMap<Option<id::Model>, MovingAverage>,
    decode: HashMap<Option<id::Model>, MovingAverage>,
}

impl Speed {
    /// Estimated seconds for `model` to process a prompt of `tokens`.
    #[must_use]
    pub fn prefill_seconds(&self, model: Option<&id::Model>, tokens: u32) -> f64 {
        let average = self.prefill.get(&model.cloned());
        average.map_or(INITIAL_PREFILL, |average| average.value) * f64::from(tokens)
    }

    /// Records the time to first token, `took` seconds, of a prompt of `tokens` sent to an
    /// upstream without other requests of this VM.
    ///
    /// Samples are capped, since requests of other VMs may delay the response.
    pub fn record_prefill(&mut self, model: Option<&id::Model>, tokens: u32, took: f64) {
        if tokens < MIN_PROMPT_TOKENS {
            return;
        }
        let sample = (took - BASE_LATENCY).max(0.0) / f64::from(tokens);
        let average = self.prefill.entry(model.cloned());
        average
            .or_insert(MovingAverage::new(INITIAL_PREFILL))
            .add(sample, PREFILL_BOUNDS);
    }

    /// Estimated time for `model` to generate `tokens`.
    #[must_use]
    pub fn decode_time(&self, model: Option<&id::Model>, tokens: u32) -> Duration {
        let average = self.decode.get(&model.cloned());
        let per_token = average.map_or(INITIAL_DECODE, |average| average.value);
        Duration::from_secs_f64(per_token * f64::from(tokens))
    }

    /// Records the generation time, from response head to end, of an answer of about
    /// `tokens`.
    ///
    /// Samples are capped, since the caller's estimate of `tokens` may be far off.
    pub fn record_decode(&mut self, model: Option<&id::Model>, tokens: u32, took: Duration) {
        if tokens < MIN_ANSWER_TOKENS {
            return;
        }
        let sample = took.as_secs_f64() / f64::from(tokens);
        let average = self.decode.entry(model.cloned());
        average
            .or_insert(MovingAverage::new(INITIAL_DECODE))
            .add(sample, DECODE_BOUNDS);
    }
}
