//! The usual time of a kind of answer.

/// Multiple of the median time from which on it counts against its version. Prompts
/// differ in length by as much, but on both versions alike.
const SLOW: f64 = 2.5;
/// Least time above the median that counts, in seconds. A new version's connections
/// are new, and against a median of a millisecond opening one looks slow.
const LEAST: f64 = 0.03;
/// Step by which the median moves with each time, as a part of it. A mean would not
/// do: a few long prompts raise it so far that answers eight times as slow pass.
const STEP: f64 = 0.03;
/// The same for the median of a longer time: the answers of a burst of eight seconds raise
/// it by half at most.
const LONG_STEP: f64 = 0.003;
/// Times after which the two medians part; fewer find no median.
const FIRST: u32 = 50;

/// Medians of the old version's times, in seconds.
///
/// The new version gets a small share, so it is idle while a burst makes the old one slow.
/// Held against the old one of that moment, answers eight times as slow as they should be
/// look usual: a slow version was trusted, and got all requests. It is held against the
/// old one of a longer time too, whichever is less.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    lately: f64,
    long: f64,
    seen: u32,
}

impl Usual {
    /// Medians after one time of `took` seconds.
    #[must_use]
    pub const fn new(took: f64) -> Self {
        Self {
            lately: took,
            long: took,
            seen: 0,
        }
    }

    /// Whether `took` seconds are long for an answer of the old version, if `is_old`, or
    /// of the new one. The old one's times are learnt from: learnt from the new one's too,
    /// a slow version would become the usual within twenty answers.
    pub fn is_slow(&mut self, took: f64, is_old: bool) -> bool {
        let usual = if is_old {
            self.lately
        } else {
            self.lately.min(self.long)
        };
        if is_old {
            self.learn(took);
        }
        took > usual * SLOW && took > usual + LEAST
    }

    fn learn(&mut self, took: f64) {
        self.seen = self.seen.saturating_add(1);
        self.lately = moved(self.lately, took, STEP);
        self.long = if self.seen < FIRST {
            self.lately
        } else {
            moved(self.long, took, LONG_STEP)
        };
    }
}

fn moved(median: f64, took: f64, step: f64) -> f64 {
    if took > median {
        median * (1.0 + step)
    } else {
        median * (1.0 - step)
    }
}
