//! Load and health of one upstream.

use std::time::Duration;

use crate::balance::pace::Pace;
use crate::balance::{Event, Options};
use crate::time;

/// Weight of a new sample in the moving average of the latency; about twenty answers make the
/// average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of a new result in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.08;
/// Bounds of an upstream's latency relative to the median; limits the effect of a single
/// long prompt.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.7, 8.0);

/// Load and health of one upstream, as observed by this VM.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Estimated seconds of prompt processing for requests still awaiting a response.
    pub(super) pending: f64,
    /// Moving average of the time to first byte, in seconds.
    pub(super) latency: Option<f64>,
    /// Moving average of the failure rate.
    pub(super) failure_rate: f64,
    /// When data was last received from the upstream.
    pub(super) last_received: time::Moment,
    /// Connection failures since a response last began; a refusal or a silence counts as the
    /// number that ejects the upstream.
    consecutive_failures: u32,
    /// Ejections since a response last began.
    ejections: u32,
    ejected_until: Option<time::Moment>,
    /// Speed as measured by this VM.
    pub(super) pace: Pace,
}

impl Load {
    /// Initial state of an upstream without requests.
    pub(super) const fn idle() -> Self {
        Self {
            in_flight: 0,
            pending: 0.0,
            latency: None,
            failure_rate: 0.0,
            last_received: time::Moment::from_millis(0),
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            pace: Pace::none(),
        }
    }

    /// Whether the upstream may get a request. After an ejection it gets a single probe request.
    pub(super) fn is_available(&self, now: time::Moment) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && self.in_flight == 0)
    }

    pub(super) fn ejected_until(&self) -> Option<time::Moment> {
        self.ejected_until
    }

    /// Latency as a multiple of `median`, the median of the pool.
    pub(super) fn relative_latency(&self, median: Option<f64>) -> f64 {
        match (self.latency, median) {
            (Some(own), Some(median)) if median > 0.0 => {
                (own / median).clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1)
            }
            _ => 1.0,
        }
    }

    /// Records an event and returns whether it ejected the upstream.
    pub(super) fn record(&mut self, event: Event, now: time::Moment, options: &Options) -> bool {
        match event {
            Event::Began(latency) => self.record_first_byte(latency, now),
            Event::Heard | Event::Full => self.last_received = now,
            Event::Succeeded => self.record_result(0.0),
            Event::Failed => self.record_result(1.0),
            Event::Broke => return self.record_failure(1, now, options),
            Event::Refused | Event::Silent => {
                return self.record_failure(options.consecutive_failures, now, options);
            }
        }
        false
    }

    fn record_first_byte(&mut self, latency: Duration, now: time::Moment) {
        let latency = latency.as_secs_f64();
        let mean = self.latency.unwrap_or(latency);
        self.latency = Some(mean + (latency - mean) * LATENCY_WEIGHT);
        self.last_received = now;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn record_result(&mut self, failure: f64) {
        self.failure_rate += (failure - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    fn record_failure(&mut self, weight: u32, now: time::Moment, options: &Options) -> bool {
        self.record_result(1.0);
        self.consecutive_failures += weight;
        if self.consecutive_failures < options.consecutive_failures {
            return false;
        }
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        if is_ejected {
            return false;
        }
        let ejection = options.ejection_time * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + ejection.min(options.max_ejection_time));
        self.ejections += 1;
        true
    }
}
