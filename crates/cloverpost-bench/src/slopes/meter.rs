//! Measurement of CPU time and memory.

use std::any::Any;
use std::collections::BTreeMap;

use crate::slopes::{Error, Options, Point, Quantity, Series, Unit, cpu, resident};

/// Maximum number of calls per batch; bounds the memory for prepared inputs.
const MAX_CALLS: usize = 1 << 16;

/// Identifies a series: unit, operation, meaning of the size, and quantity.
type SeriesKey = (Unit, &'static str, &'static str, Quantity);

/// Measures costs and collects them in series.
#[derive(Debug)]
pub struct Meter {
    options: Options,
    clock: cpu::Clock,
    retained: Vec<Box<dyn Any>>,
    keys: Vec<SeriesKey>,
    points: BTreeMap<SeriesKey, Vec<Point>>,
}

impl Meter {
    /// Creates a meter for the calling thread.
    pub fn start(options: Options) -> Result<Self, Error> {
        Ok(Self {
            options,
            clock: cpu::Clock::open()?,
            retained: Vec::new(),
            keys: Vec::new(),
            points: BTreeMap::new(),
        })
    }

    /// Records that `size` units cost `cost`.
    pub fn record(
        &mut self,
        unit: Unit,
        what: &'static str,
        by: &'static str,
        quantity: Quantity,
        size: usize,
        cost: f64,
    ) {
        let key = (unit, what, by, quantity);
        if !self.points.contains_key(&key) {
            self.keys.push(key);
        }
        let point = Point {
            size: count_to_f64(size),
            cost,
        };
        self.points.entry(key).or_default().push(point);
    }

    /// Returns the CPU time of this thread so far, in nanoseconds.
    pub fn thread_cpu_nanos(&self) -> u64 {
        self.clock.nanos()
    }

    /// Measures the CPU time of one `call`, in nanoseconds.
    pub fn cpu_nanos(&self, mut call: impl FnMut()) -> f64 {
        self.cpu_nanos_with(|| (), |()| call())
    }

    /// Measures the CPU time of one `call`, excluding `prepare`, in nanoseconds.
    pub fn cpu_nanos_with<T>(
        &self,
        mut prepare: impl FnMut() -> T,
        mut call: impl FnMut(T),
    ) -> f64 {
        let sample_duration = self.options.sample_duration().as_nanos();
        let mut calls = 1;
        while u128::from(self.batch(calls, &mut prepare, &mut call)) < sample_duration
            && calls < MAX_CALLS
        {
            calls *= 2;
        }
        let samples =
            (0..self.options.sample_count()).map(|_| self.batch(calls, &mut prepare, &mut call));
        let least = samples.min().unwrap_or_default();
        amount_to_f64(least) / count_to_f64(calls)
    }

    fn batch<T>(
        &self,
        calls: usize,
        prepare: &mut impl FnMut() -> T,
        call: &mut impl FnMut(T),
    ) -> u64 {
        let inputs: Vec<_> = (0..calls).map(|_| prepare()).collect();
        let start = self.clock.nanos();
        for input in inputs {
            call(input);
        }
        self.clock.nanos() - start
    }

    /// Records the memory of `size` results of `make`, for each of `sizes`.
    pub fn record_memory<T: 'static>(
        &mut self,
        unit: Unit,
        what: &'static str,
        by: &'static str,
        sizes: &[usize],
        mut make: impl FnMut(usize) -> T,
    ) {
        for &size in sizes {
            let growth = self.memory_growth(|| (0..size).map(&mut make).collect::<Vec<_>>());
            self.record(unit, what, by, Quantity::Memory, size, growth);
        }
    }

    /// Returns the growth of the resident set while `make` runs, in bytes.
    ///
    /// The result of `make` is retained until [`Self::release_memory`], because later measurements
    /// would otherwise reuse its memory.
    pub fn memory_growth<T: 'static>(&mut self, make: impl FnOnce() -> T) -> f64 {
        let before = resident::bytes().unwrap_or_default();
        let result = make();
        let after = resident::bytes().unwrap_or_default();
        self.retained.push(Box::new(result));
        amount_to_f64(after.saturating_sub(before))
    }

    /// Frees the results retained by memory measurements.
    pub fn release_memory(&mut self) {
        self.retained.clear();
    }

    /// Returns the series in the order of their first points.
    pub fn into_series(mut self) -> Vec<Series> {
        let keys = std::mem::take(&mut self.keys);
        let series = keys.into_iter().map(|key| {
            let (unit, what, by, quantity) = key;
            let points = self.points.remove(&key).unwrap_or_default();
            Series::new(unit, what, by, quantity, points)
        });
        series.collect()
    }
}

/// Converts a count.
#[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
pub fn count_to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts nanoseconds or bytes.
#[allow(clippy::cast_precision_loss)] // as above
pub fn amount_to_f64(amount: u64) -> f64 {
    amount as f64
}
