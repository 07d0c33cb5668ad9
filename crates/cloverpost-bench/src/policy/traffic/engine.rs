//! Model of an inference engine with a queue, continuous batching and a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use cloverpost_core::time;

use crate::policy::traffic::request::Dispatch;
use crate::policy::traffic::setup::{PREFIX_TOKENS, SUFFIX_TOKENS};

/// Maximum batch size.
const MAX_BATCH: usize = 16;

/// Tokens generated per running request and step.
const STEP_TOKENS: u32 = 8;

/// Duration of a step regardless of the batch size.
const STEP_BASE: Duration = Duration::from_millis(160);

/// Time added to a step by each running request.
const STEP_PER_REQUEST: Duration = Duration::from_millis(4);

/// Prefill time per prompt token, which delays the whole batch.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(50);

/// Capacity of the prefix cache.
const CACHE_CAPACITY: usize = 30;

struct Running {
    dispatch: Dispatch,
    first_byte: Option<time::Moment>,
    tokens_left: u32,
}

/// A completed answer.
pub(super) struct Answer {
    pub(super) dispatch: Dispatch,
    pub(super) first_byte: time::Moment,
}

/// An inference engine.
#[derive(Default)]
pub(super) struct Engine {
    queued: VecDeque<Dispatch>,
    running: Vec<Running>,
    cache: VecDeque<u32>,
    stepping: bool,
    hits: u32,
    misses: u32,
}

impl Engine {
    /// Number of requests running or queued.
    pub(super) fn load(&self) -> u32 {
        u32::try_from(self.queued.len() + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Hits and misses of the prefix cache.
    pub(super) const fn cache_counts(&self) -> (u32, u32) {
        (self.hits, self.misses)
    }

    /// Queues a request. Returns the end of the next step if the engine was idle.
    pub(super) fn accept(&mut self, dispatch: Dispatch, now: time::Moment) -> Option<time::Moment> {
        let not_lower = |queued: &Dispatch| queued.priority >= dispatch.priority;
        let index = self.queued.partition_point(not_lower);
        self.queued.insert(index, dispatch);
        if self.stepping {
            return None;
        }
        self.begin_step(now)
    }

    /// Ends a step. Returns the completed answers and the end of the next step, if any.
    pub(super) fn end_step(&mut self, now: time::Moment) -> (Vec<Answer>, Option<time::Moment>) {
        let mut answers = Vec::new();
        for running in &mut self.running {
            running.first_byte.get_or_insert(now);
            running.tokens_left = running.tokens_left.saturating_sub(STEP_TOKENS);
        }
        self.running.retain(|running| {
            let done = running.tokens_left == 0;
            if done {
                answers.push(Answer {
                    dispatch: running.dispatch,
                    first_byte: running.first_byte.unwrap_or(now),
                });
            }
            !done
        });
        (answers, self.begin_step(now))
    }

    fn begin_step(&mut self, now: time::Moment) -> Option<time::Moment> {
        let prefill = self.admit();
        self.stepping = !self.running.is_empty();
        if !self.stepping {
            return None;
        }
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        Some(now + STEP_BASE + STEP_PER_REQUEST * batch + prefill)
    }

    /// Moves queued requests into the batch. Returns the time to prefill their prompts.
    fn admit(&mut self) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.running.len() < MAX_BATCH {
            let Some(dispatch) = self.queued.pop_front() else {
                break;
            };
            prefill += PREFILL_PER_TOKEN * self.uncached_tokens(dispatch.request.prefix);
            self.running.push(Running {
                dispatch,
                first_byte: None,
                tokens_left: dispatch.request.output_tokens,
            });
        }
        prefill
    }

    /// Returns the prompt tokens that are not cached, and caches the prefix.
    fn uncached_tokens(&mut self, prefix: u32) -> u32 {
        let cached = self.cache.iter().position(|cached| *cached == prefix);
        let hit = cached.and_then(|index| self.cache.remove(index)).is_some();
        self.cache.push_front(prefix);
        self.cache.truncate(CACHE_CAPACITY);
        if hit {
            self.hits += 1;
            SUFFIX_TOKENS
        } else {
            self.misses += 1;
            SUFFIX_TOKENS + PREFIX_TOKENS
        }
    }
}
