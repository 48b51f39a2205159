//! Tracks how long stages have recently taken in requests of this VM.
//!
//! A request has as much time for a stage as its later stages leave. Under load, the later stages
//! take longer than their calls alone, so a longer observed time takes precedence over the
//! configured one. This handles bursts that make a later stage the bottleneck.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::{ServiceName, Time};

/// Weight of the newest observation in the moving average.
const NEWEST_WEIGHT: f64 = 0.25;
/// Half-life of what was observed beyond the configured time.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Moving averages of the recent stage times, by service.
#[derive(Debug, Default)]
pub struct StageTimes {
    /// Moving average of the time in milliseconds, and the time of its newest observation.
    times: HashMap<ServiceName, (f64, Time)>,
}

impl StageTimes {
    /// Records how long a stage took, including its wait for endpoints.
    pub fn record(&mut self, now: Time, service: &ServiceName, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let (ms, at) = self.times.entry(service.clone()).or_insert((took_ms, now));
        *ms = *ms * (1.0 - NEWEST_WEIGHT) + took_ms * NEWEST_WEIGHT;
        *at = now;
    }

    /// Returns the expected time of a stage. It lies between `configured_ms` and the observed time,
    /// and approaches `configured_ms` as the observation ages.
    pub fn expected_ms(&self, now: Time, service: &ServiceName, configured_ms: f64) -> f64 {
        let Some((ms, at)) = self.times.get(service) else {
            return configured_ms;
        };
        let age = now.since(*at).as_secs_f64();
        let weight = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        configured_ms + (ms - configured_ms).max(0.0) * weight
    }
}
