//! How long stages take lately, from the requests of this VM.
//!
//! The time that a request has for a stage is what its later stages leave. Under load they take
//! longer than their calls alone, so the observed time goes before the configured one. Answers
//! the pattern of a burst that makes a later stage the bottleneck.

use std::collections::HashMap;
use std::time::Duration;

use crate::units::{ServiceName, Time};

/// Weight of the newest observation.
const WEIGHT: f64 = 0.25;
/// Time in which half of an observation is forgotten.
const FORGET_HALF: Duration = Duration::from_secs(2);

/// Recent times of the stages of each service.
#[derive(Debug, Default)]
pub struct StageTimes {
    times: HashMap<ServiceName, (f64, Time)>,
}

impl StageTimes {
    /// Notes how long a stage took, its wait included.
    pub fn record(&mut self, now: Time, service: &ServiceName, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let (ms, at) = self.times.entry(service.clone()).or_insert((took_ms, now));
        *ms = *ms * (1.0 - WEIGHT) + took_ms * WEIGHT;
        *at = now;
    }

    /// Returns the time to expect of a stage, between `usual_ms` and what was observed.
    pub fn expected_ms(&self, now: Time, service: &ServiceName, usual_ms: f64) -> f64 {
        let Some((ms, at)) = self.times.get(service) else {
            return usual_ms;
        };
        let age = now.since(*at).as_secs_f64();
        let kept = 0.5_f64.powf(age / FORGET_HALF.as_secs_f64());
        usual_ms + (ms - usual_ms).max(0.0) * kept
    }
}
