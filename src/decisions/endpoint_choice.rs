//! Chooses the endpoint of a request from this VM's own observations.
//!
//! A plain request goes where it is expected to end first. A generation goes to the engine that
//! most likely has the shared part of its prompt cached, unless that engine is loaded, slow or in
//! doubt (`docs/platform.md`, "Endpoints"). Answers the patterns of slow, failing and dead
//! endpoints whose health checks are good, and of many requests with one prompt prefix.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::circuit::{Circuit, CircuitConfig, Role};
use crate::fleet::model::Endpoint;
use crate::units::{DataCentreName, EndpointName, Time};

/// Settings of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceConfig {
    /// Circuits of the endpoints.
    pub circuit: CircuitConfig,
    /// Weight of the newest observation of an endpoint's time.
    pub time_weight: f64,
    /// Time in which half of a deviation from the service's median is forgotten, so that a slow
    /// endpoint is tried again.
    pub forget_half: Duration,
    /// Added to the time of an endpoint in another data centre, in milliseconds.
    pub distance_ms: f64,
    /// An engine that takes this many times as long as the median loses its affinity.
    pub slow_ratio: f64,
    /// Unread prompt tokens of this VM's requests above which an engine is passed over.
    pub prompt_backlog_tokens: u64,
}

impl Default for ChoiceConfig {
    fn default() -> Self {
        Self {
            circuit: CircuitConfig {
                failures_to_open: 2,
                initial_pause: Duration::from_millis(500),
                max_pause: Duration::from_secs(4),
            },
            time_weight: 0.3,
            forget_half: Duration::from_secs(3),
            distance_ms: 4.0,
            slow_ratio: 2.5,
            prompt_backlog_tokens: 24_000,
        }
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work<'a> {
    /// A request of a plain service.
    Plain,
    /// A generation at a model engine.
    Generation {
        /// The shared part of the prompt that engines cache.
        prompt_prefix: u64,
        /// Length of the prompt.
        prompt_tokens: u32,
        /// The data centre with most of the stage results.
        preferred_data_centre: &'a DataCentreName,
    },
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// Endpoints that it was offered to before.
    pub tried: &'a [EndpointName],
    /// The data centre of this VM.
    pub own_data_centre: &'a DataCentreName,
    /// Whether it may run more than once.
    pub may_retry: bool,
    /// What it asks of the endpoint.
    pub work: Work<'a>,
}

/// How an attempt ended, as far as the endpoint is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered; the time until then, if that tells something.
    Answered(Option<Duration>),
    /// It answered with an error of its own.
    Error,
    /// No connection, no answer, or one that is no answer.
    Broken,
    /// It refused because it is full.
    Full,
    /// The caller left or the attempt says nothing of the endpoint.
    Inconclusive,
}

/// An attempt under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedAttempt {
    /// The endpoint.
    pub endpoint: EndpointName,
    role: Role,
    prompt_tokens: u32,
}

#[derive(Debug, Default)]
struct State {
    in_flight: u32,
    unread_tokens: u64,
    circuit: Circuit,
    time_ms: Option<f64>,
    observed_at: Time,
    full_until: Time,
    /// Sends of the last second while the endpoint was cold.
    cold_sends: SmallVec<[Time; 4]>,
    failed_at: Option<Time>,
}

/// What this VM has observed of endpoints.
#[derive(Debug, Default)]
pub struct EndpointChoice {
    config: ChoiceConfig,
    states: HashMap<EndpointName, State>,
}

/// Time for which an endpoint that refused as full is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Time for which requests that run at most once avoid an endpoint that failed.
const DOUBT: Duration = Duration::from_secs(3);
/// The window of the limit on requests to cold endpoints.
const COLD_WINDOW: Duration = Duration::from_millis(1_050);
/// Assumed time of an endpoint before the first observation, in milliseconds.
const UNKNOWN_TIME_MS: f64 = 50.0;

impl EndpointChoice {
    /// Starts without observations.
    pub fn new(config: ChoiceConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
        }
    }

    /// Returns the endpoint to try next. `cold_sends` says how many requests a second this VM
    /// may send to a cold endpoint.
    pub fn choose(
        &self,
        now: Time,
        candidates: &[Arc<Endpoint>],
        request: EndpointRequest<'_>,
        cold_sends: impl Fn(&Endpoint) -> usize,
    ) -> Option<Arc<Endpoint>> {
        let bears = |endpoint: &Endpoint| {
            endpoint.cold_until <= now || {
                let recent = self.cold_count(now, &endpoint.id);
                recent < cold_sends(endpoint)
            }
        };
        let open: Vec<&Arc<Endpoint>> = candidates
            .iter()
            .filter(|endpoint| !request.tried.contains(&endpoint.id) && bears(endpoint))
            .collect();
        let fit = |endpoint: &&&Arc<Endpoint>| self.is_fit(now, endpoint, request.may_retry);
        let fit: Vec<&Arc<Endpoint>> = open.iter().filter(fit).copied().collect();
        let pool = if fit.is_empty() { open } else { fit };
        let median_ms = self.median_ms(&pool);
        match request.work {
            Work::Plain => self.fastest(now, &pool, request.own_data_centre, median_ms),
            Work::Generation {
                prompt_prefix,
                prompt_tokens,
                preferred_data_centre,
            } => self
                .cached(now, &pool, prompt_prefix, prompt_tokens, median_ms)
                .or_else(|| self.fastest(now, &pool, preferred_data_centre, median_ms)),
        }
        .cloned()
    }

    /// Notes the start of an attempt.
    pub fn start(&mut self, now: Time, endpoint: &Endpoint, prompt_tokens: u32) -> StartedAttempt {
        let state = self.states.entry(endpoint.id.clone()).or_default();
        state.in_flight += 1;
        state.unread_tokens += u64::from(prompt_tokens);
        if endpoint.cold_until > now {
            state
                .cold_sends
                .retain(|sent| now.since(*sent) < COLD_WINDOW);
            state.cold_sends.push(now);
        }
        let role = if state.circuit.allows(now) {
            state.circuit.on_start()
        } else {
            Role::Ordinary
        };
        StartedAttempt {
            endpoint: endpoint.id.clone(),
            role,
            prompt_tokens,
        }
    }

    /// Notes that an engine has read the prompt of an attempt.
    pub fn on_prompt_read(&mut self, started: &mut StartedAttempt) {
        if let Some(state) = self.states.get_mut(&started.endpoint) {
            let tokens = u64::from(started.prompt_tokens);
            state.unread_tokens = state.unread_tokens.saturating_sub(tokens);
        }
        started.prompt_tokens = 0;
    }

    /// Notes the end of an attempt.
    pub fn finish(&mut self, now: Time, mut started: StartedAttempt, end: AttemptEnd) {
        self.on_prompt_read(&mut started);
        let config = self.config;
        let Some(state) = self.states.get_mut(&started.endpoint) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered(time) => {
                state.circuit.on_success();
                if let Some(time) = time {
                    let ms = time.as_secs_f64() * 1_000.0;
                    let weight = config.time_weight;
                    let old = state.time_ms.unwrap_or(ms);
                    state.time_ms = Some(old * (1.0 - weight) + ms * weight);
                    state.observed_at = now;
                }
            }
            AttemptEnd::Error | AttemptEnd::Broken => {
                state.circuit.on_failure(now, started.role, &config.circuit);
                if end == AttemptEnd::Broken {
                    state.failed_at = Some(now);
                }
            }
            AttemptEnd::Full => {
                state.full_until = now + FULL_PAUSE;
                state.circuit.on_inconclusive(started.role);
            }
            AttemptEnd::Inconclusive => state.circuit.on_inconclusive(started.role),
        }
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.states
            .retain(|id, state| state.in_flight > 0 || is_known(id));
    }

    /// Returns how many attempts of this VM run at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.in_flight)
    }

    fn cold_count(&self, now: Time, endpoint: &EndpointName) -> usize {
        self.states.get(endpoint).map_or(0, |state| {
            let recent = |sent: &&Time| now.since(**sent) < COLD_WINDOW;
            state.cold_sends.iter().filter(recent).count()
        })
    }

    fn is_fit(&self, now: Time, endpoint: &Endpoint, may_retry: bool) -> bool {
        let Some(state) = self.states.get(&endpoint.id) else {
            return true;
        };
        let is_doubted = state.failed_at.is_some_and(|at| now.since(at) < DOUBT);
        state.circuit.allows(now) && now >= state.full_until && (may_retry || !is_doubted)
    }

    /// Returns the remembered time of an endpoint, which fades towards the median.
    fn time_ms(&self, now: Time, endpoint: &Endpoint, median_ms: f64) -> f64 {
        let Some(state) = self.states.get(&endpoint.id) else {
            return median_ms;
        };
        let Some(time_ms) = state.time_ms else {
            return median_ms;
        };
        let age = now.since(state.observed_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / self.config.forget_half.as_secs_f64());
        median_ms + (time_ms - median_ms) * kept
    }

    /// Returns the median of the remembered times.
    fn median_ms(&self, pool: &[&Arc<Endpoint>]) -> f64 {
        let mut times: SmallVec<[f64; 16]> = pool
            .iter()
            .filter_map(|endpoint| self.states.get(&endpoint.id)?.time_ms)
            .collect();
        times.sort_by(f64::total_cmp);
        times
            .get(times.len() / 2)
            .copied()
            .unwrap_or(UNKNOWN_TIME_MS)
    }

    fn fastest<'a>(
        &self,
        now: Time,
        pool: &[&'a Arc<Endpoint>],
        preferred_data_centre: &DataCentreName,
        median_ms: f64,
    ) -> Option<&'a Arc<Endpoint>> {
        let cost = |endpoint: &Endpoint| {
            let in_flight = f64::from(self.in_flight(&endpoint.id));
            let time_ms = self.time_ms(now, endpoint, median_ms);
            let distance = if endpoint.data_centre == *preferred_data_centre {
                0.0
            } else {
                self.config.distance_ms
            };
            time_ms * (1.0 + in_flight / f64::from(endpoint.slots)) + distance
        };
        pool.iter()
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .copied()
    }

    /// Returns the engine that all VMs prefer for a prompt prefix, or the next in that order while
    /// the first ones are loaded or slow. The data centre has no say: an engine reads a shared
    /// part again in far more time than it fetches stage results from another data centre.
    fn cached<'a>(
        &self,
        now: Time,
        pool: &[&'a Arc<Endpoint>],
        prompt_prefix: u64,
        prompt_tokens: u32,
        median_ms: f64,
    ) -> Option<&'a Arc<Endpoint>> {
        let mut order: SmallVec<[(u64, &'a Arc<Endpoint>); 16]> = pool
            .iter()
            .map(|endpoint| (!affinity(prompt_prefix, &endpoint.id), *endpoint))
            .collect();
        order.sort_by_key(|(rank, _)| *rank);
        let total: u32 = order
            .iter()
            .map(|(_, endpoint)| self.in_flight(&endpoint.id))
            .sum();
        let most = 2 + total * 2 / (order.len().max(1) as u32);
        let accepts = |endpoint: &Endpoint| {
            let Some(state) = self.states.get(&endpoint.id) else {
                return true;
            };
            let backlog = state.unread_tokens + u64::from(prompt_tokens);
            let is_backlogged =
                state.unread_tokens > 0 && backlog > self.config.prompt_backlog_tokens;
            let slow_from = median_ms * self.config.slow_ratio;
            state.in_flight <= most
                && !is_backlogged
                && self.time_ms(now, endpoint, median_ms) <= slow_from
        };
        order
            .into_iter()
            .map(|(_, endpoint)| endpoint)
            .find(|endpoint| accepts(endpoint))
    }
}

fn affinity(prompt_prefix: u64, endpoint: &EndpointName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prompt_prefix, endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns how many requests a second one VM may send to a cold endpoint so that the sum over
/// `vms` VMs stays within `limit`. `rank` is this VM's place in an order of all VMs that all of
/// them agree on: where there are more VMs than requests, only the first ones send.
pub fn cold_share(limit_per_s: f64, vms: u32, rank: usize) -> usize {
    let share = (limit_per_s / f64::from(vms.max(1))).floor() as usize;
    if share > 0 {
        return share;
    }
    usize::from((rank as f64) < limit_per_s.floor())
}

/// Returns a hash that is the same on all VMs of a build.
pub fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
