//! Metrics of admitted requests.

use std::ops::Range;

/// Admitted requests by second.
pub(super) struct Tally {
    limit: f64,
    /// Seconds in which shares have converged and the membership does not change.
    settled: Range<usize>,
    /// Seconds at the start that the utilisation and the small organisation's counts exclude.
    warm_up: usize,
    admitted: Vec<u32>,
    small_sent: u32,
    small_admitted: u32,
}

impl Tally {
    pub(super) fn new(limit: f64, seconds: usize, warm_up: usize, settled: Range<usize>) -> Self {
        Self {
            limit,
            settled,
            warm_up,
            admitted: vec![0; seconds],
            small_sent: 0,
            small_admitted: 0,
        }
    }

    /// Records a request of the large organisation.
    pub(super) fn record_large(&mut self, second: usize, admitted: bool) {
        if let Some(count) = self.admitted.get_mut(second) {
            *count += u32::from(admitted);
        }
    }

    /// Records a request of the small organisation.
    pub(super) fn record_small(&mut self, second: usize, admitted: bool) {
        if second >= self.warm_up {
            self.small_sent += 1;
            self.small_admitted += u32::from(admitted);
        }
    }

    /// Maximum excess over the limit in any `window` seconds, as a fraction of the limit.
    pub(super) fn max_excess(&self, window: usize) -> f64 {
        self.max_excess_of(&self.admitted, window)
    }

    /// Like [`Self::max_excess`], within the settled seconds only.
    pub(super) fn max_excess_settled(&self, window: usize) -> f64 {
        self.max_excess_of(&self.admitted[self.settled.clone()], window)
    }

    fn max_excess_of(&self, seconds: &[u32], window: usize) -> f64 {
        let sums = seconds.windows(window).map(|part| part.iter().sum::<u32>());
        let max = f64::from(sums.max().unwrap_or(0));
        let allowed = self.limit * f64::from(u32::try_from(window).unwrap_or(1));
        max / allowed - 1.0
    }

    /// Fraction of the limit that was used in `seconds`, excluding the warm-up.
    pub(super) fn utilisation(&self, seconds: Range<usize>) -> f64 {
        let counted = &self.admitted[seconds.start.max(self.warm_up)..seconds.end];
        let seconds = f64::from(u32::try_from(counted.len()).unwrap_or(1));
        f64::from(counted.iter().sum::<u32>()) / (seconds * self.limit)
    }

    /// Fraction of the small organisation's requests that were admitted.
    pub(super) fn small_admitted(&self) -> f64 {
        f64::from(self.small_admitted) / f64::from(self.small_sent.max(1))
    }

    pub(super) fn curve(&self) -> Vec<(f64, f64)> {
        let points = (0_u32..).zip(&self.admitted);
        points
            .map(|(second, count)| (f64::from(second), f64::from(*count)))
            .collect()
    }
}
