//! A simulated upstream that runs a model.

use std::collections::VecDeque;

/// Requests that an upstream takes at a time.
pub const SLOTS: u32 = 8;
/// Seconds to process one prompt token.
const PREFILL_SECONDS: f64 = 0.000_026;
/// Seconds to generate one token.
const DECODE_SECONDS: f64 = 0.002_5;
/// Seconds until the first byte apart from the prompt.
const BASE_SECONDS: f64 = 0.03;
/// Utilisation above which the upstream slows down.
const FULL_THRESHOLD: f64 = 0.7;
/// Additional part of the time per unit of utilisation above the threshold.
const FULL_SLOWDOWN: f64 = 2.0;
/// Factor of the slow intervals.
pub const SLOW_FACTOR: f64 = 2.5;

/// Tokens of a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Generated tokens.
    pub answer: u32,
}

/// State of one upstream. Prompts are processed one at a time, answers are generated side by side.
pub struct Engine {
    /// Speed, 1 is usual.
    pub speed: f64,
    /// Whether a slow interval lasts.
    pub is_slow: bool,
    /// Requests that wait for the one whose prompt is processed, which is the first.
    queue: VecDeque<usize>,
    open: u32,
}

impl Engine {
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            is_slow: false,
            queue: VecDeque::new(),
            open: 0,
        }
    }

    /// Adds a request; returns whether its prompt is processed at once.
    pub fn push(&mut self, request: usize) -> bool {
        self.open += 1;
        self.queue.push_back(request);
        self.queue.len() == 1
    }

    /// Ends the processing of the first prompt; returns the next request.
    pub fn pop(&mut self) -> Option<usize> {
        self.queue.pop_front();
        self.queue.front().copied()
    }

    pub fn end(&mut self) {
        self.open -= 1;
    }

    pub fn prefill_seconds(&self, work: Work) -> f64 {
        BASE_SECONDS + f64::from(work.prompt) * PREFILL_SECONDS * self.factor()
    }

    pub fn decode_seconds(&self, work: Work) -> f64 {
        f64::from(work.answer) * DECODE_SECONDS * self.factor()
    }

    fn factor(&self) -> f64 {
        let utilisation = f64::from(self.open) / f64::from(SLOTS);
        let excess = (utilisation.min(1.0) - FULL_THRESHOLD).max(0.0);
        let slow = if self.is_slow { SLOW_FACTOR } else { 1.0 };
        (1.0 + excess * FULL_SLOWDOWN) * slow / self.speed
    }
}
