//! Estimates how long generations take, from what this VM has recently observed.
//!
//! A planned stop lasts for a fixed time, and a stream that is not complete by then is cut in its middle. So a
//! request is sent to an engine during a stop only if its whole generation fits. This handles engines that
//! are slow and bursts, which make generations longer than the stop (`docs/platform.md`, "Planned stop").

use std::collections::HashMap;
use std::time::Duration;

use crate::units::{EndpointName, ServiceName, Time};

/// Time of the events after the first one where no generation of the service has been observed. It is short, so
/// that a VM that knows nothing refuses no request that it could answer.
const DEFAULT_EVENTS_TIME: Duration = Duration::from_secs(1);
/// Half-life of observations of the pace. The pace follows bursts and engines that become slow.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-life of observations of the length of answers, which depends on the callers and changes slowly.
const LENGTH_HALF_LIFE: Duration = Duration::from_secs(30);
/// Number of half-lives after which an observation is old and not used any more.
const MAX_AGE_HALF_LIVES: f64 = 5.0;
/// Minimum weight of the observations of one endpoint for its own pace to be used. The newest has weight 1.
const MIN_ENDPOINT_WEIGHT: f64 = 2.0;

/// Number of tokens that a generation is expected to have, from the headers of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedTokens {
    /// The caller's estimate.
    Hint(u32),
    /// The maximum that the caller allows; most answers are shorter.
    Max(u32),
}

impl ExpectedTokens {
    /// Returns the number of tokens, whatever it is based on.
    pub fn count(self) -> f64 {
        match self {
            Self::Hint(tokens) | Self::Max(tokens) => f64::from(tokens),
        }
    }
}

/// Estimate of what a generation still takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationEstimate {
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Time from the first event that is still to come to the end.
    pub further_events: Duration,
}

impl GenerationEstimate {
    /// Returns the time from the send to the end.
    pub fn total(&self) -> Duration {
        self.first_event.saturating_add(self.further_events)
    }
}

/// Ratio of two sums whose older parts count for less.
#[derive(Debug, Clone, Copy)]
struct DecayingRatio {
    half_life: Duration,
    sum: f64,
    weight: f64,
    newest_at: Time,
}

impl DecayingRatio {
    const fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            weight: 0.0,
            newest_at: Time::ZERO,
        }
    }

    fn half_lives(&self, now: Time) -> f64 {
        now.since(self.newest_at).as_secs_f64() / self.half_life.as_secs_f64()
    }

    fn record(&mut self, now: Time, amount: f64, weight: f64) {
        let decay = 0.5_f64.powf(self.half_lives(now));
        self.sum = self.sum * decay + amount;
        self.weight = self.weight * decay + weight;
        self.newest_at = now;
    }

    /// Returns the ratio; `None` if its newest observation is old or all together weigh less than
    /// `min_weight`.
    fn get(&self, now: Time, min_weight: f64) -> Option<f64> {
        let is_known = self.weight > 0.0
            && self.weight >= min_weight
            && self.half_lives(now) <= MAX_AGE_HALF_LIVES;
        is_known.then(|| self.sum / self.weight)
    }
}

/// Pace of the generations of a service or of one endpoint, in seconds.
#[derive(Debug)]
struct Pace {
    first_event_s: DecayingRatio,
    next_event_s: DecayingRatio,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            first_event_s: DecayingRatio::new(PACE_HALF_LIFE),
            next_event_s: DecayingRatio::new(PACE_HALF_LIFE),
        }
    }
}

/// Number of events for each expected token, by the source of the expectation.
#[derive(Debug)]
struct Lengths {
    by_hint: DecayingRatio,
    by_max: DecayingRatio,
}

impl Default for Lengths {
    fn default() -> Self {
        Self {
            by_hint: DecayingRatio::new(LENGTH_HALF_LIFE),
            by_max: DecayingRatio::new(LENGTH_HALF_LIFE),
        }
    }
}

/// Recent paces and lengths of generations.
#[derive(Debug, Default)]
pub struct GenerationTimes {
    services: HashMap<ServiceName, Pace>,
    endpoints: HashMap<EndpointName, Pace>,
    lengths: HashMap<ServiceName, Lengths>,
}

impl GenerationTimes {
    /// Records the time from the send of a request to its first event.
    pub fn on_first_event(
        &mut self,
        now: Time,
        service: &ServiceName,
        endpoint: &EndpointName,
        took: Duration,
    ) {
        for pace in self.paces(service, endpoint) {
            pace.first_event_s.record(now, took.as_secs_f64(), 1.0);
        }
    }

    /// Records the wait for a further event or for the end.
    pub fn on_next_event(
        &mut self,
        now: Time,
        service: &ServiceName,
        endpoint: &EndpointName,
        waited: Duration,
    ) {
        for pace in self.paces(service, endpoint) {
            pace.next_event_s.record(now, waited.as_secs_f64(), 1.0);
        }
    }

    /// Records the number of events of a complete generation.
    pub fn on_complete(
        &mut self,
        now: Time,
        service: &ServiceName,
        expected: ExpectedTokens,
        events: u64,
    ) {
        if expected.count() == 0.0 {
            return;
        }
        let lengths = self.lengths.entry(service.clone()).or_default();
        let length = match expected {
            ExpectedTokens::Hint(_) => &mut lengths.by_hint,
            ExpectedTokens::Max(_) => &mut lengths.by_max,
        };
        length.record(now, events as f64, expected.count());
    }

    /// Estimates what a generation takes that is sent now and has `events` events already. `endpoint` is its
    /// endpoint, if it is known. `min_first_event` is the time to the first event without a wait at the engine.
    pub fn estimate(
        &self,
        now: Time,
        service: &ServiceName,
        endpoint: Option<&EndpointName>,
        expected: ExpectedTokens,
        events: u64,
        min_first_event: Duration,
    ) -> GenerationEstimate {
        let of_endpoint = endpoint.and_then(|endpoint| self.endpoints.get(endpoint));
        let of_service = self.services.get(service);
        let observed = |ratio: fn(&Pace) -> &DecayingRatio| {
            let own = of_endpoint.and_then(|pace| ratio(pace).get(now, MIN_ENDPOINT_WEIGHT));
            own.or_else(|| ratio(of_service?).get(now, 0.0))
        };
        let first_event_s = observed(|pace| &pace.first_event_s).unwrap_or(0.0);
        let length = self.lengths.get(service).and_then(|lengths| {
            let length = match expected {
                ExpectedTokens::Hint(_) => &lengths.by_hint,
                ExpectedTokens::Max(_) => &lengths.by_max,
            };
            length.get(now, 0.0).filter(|_| expected.count() > 0.0)
        });
        let next_event_s = observed(|pace| &pace.next_event_s);
        let further_events = match length.zip(next_event_s) {
            Some((events_per_token, next_event_s)) => {
                // The end is waited for like an event, and the first event is not one of the further ones.
                let left = expected.count() * events_per_token - events as f64;
                Duration::try_from_secs_f64(left.max(0.0) * next_event_s).unwrap_or(Duration::MAX)
            }
            None => DEFAULT_EVENTS_TIME,
        };
        GenerationEstimate {
            first_event: min_first_event.max(Duration::from_secs_f64(first_event_s)),
            further_events,
        }
    }

    /// Drops the observations of endpoints that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointName) -> bool) {
        self.endpoints.retain(|endpoint, _| is_kept(endpoint));
    }

    fn paces(&mut self, service: &ServiceName, endpoint: &EndpointName) -> [&mut Pace; 2] {
        [
            self.services.entry(service.clone()).or_default(),
            self.endpoints.entry(endpoint.clone()).or_default(),
        ]
    }
}
