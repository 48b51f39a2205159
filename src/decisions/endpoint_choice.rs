//! Chooses the endpoint of a request from this VM's own observations.
//!
//! A plain request goes to the endpoint that is expected to answer first. A generation goes to the
//! engine that most likely has the shared prefix of its prompt cached, unless that engine is
//! loaded, slow or has failed recently (`docs/platform.md`, "Endpoints"). This handles slow,
//! failing and dead endpoints that pass their health checks, and many requests with one prompt
//! prefix.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;

use crate::decisions::circuit::{Circuit, CircuitConfig, Role};
use crate::decisions::engine_load::{EngineLoad, ProcessKey};
use crate::decisions::load_cost::{
    GOOD_RATIO, LoadedEndpoint, Prompt, PromptCosts, better_of_two, prefix_engines, with_loads,
};
use crate::fleet::model::Endpoint;
use crate::units::{DataCentreName, EndpointName, Time};

/// Settings of [`EndpointChoice`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceConfig {
    /// Settings of the endpoints' circuits.
    pub circuit: CircuitConfig,
    /// Weight of the newest observation in the moving average of an endpoint's response time.
    pub time_weight: f64,
    /// Half-life of the deviation of an endpoint's response time from the service's median. The
    /// deviation fades, so that a slow endpoint is tried again.
    pub deviation_half_life: Duration,
    /// Cost that is added to the expected time of an endpoint in another data centre, in
    /// milliseconds.
    pub distance_ms: f64,
    /// An engine whose response time exceeds the median by this factor is not chosen for its cached
    /// prefixes.
    pub slow_ratio: f64,
    /// Upper bound of the prompt tokens of this VM's requests that an engine has yet to read. An
    /// engine above it is not chosen for its cached prefixes.
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
            deviation_half_life: Duration::from_secs(3),
            distance_ms: 4.0,
            slow_ratio: 2.5,
            prompt_backlog_tokens: 24_000,
        }
    }
}

/// Kind of request that needs an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work<'a> {
    /// A request of a plain service.
    Plain,
    /// A generation at a model engine.
    Generation {
        /// Id of the shared prefix of the prompt, which engines cache.
        prompt_prefix: u64,
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Length of the shared prefix in tokens.
        shared_tokens: u32,
        /// Data centre that holds most of the stage results.
        preferred_data_centre: &'a DataCentreName,
    },
}

/// Request that needs an endpoint, for [`EndpointChoice::choose`].
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// Endpoints that earlier attempts of the request went to.
    pub tried: &'a [EndpointName],
    /// Data centre of this VM.
    pub own_data_centre: &'a DataCentreName,
    /// Whether the request may run more than once.
    pub may_retry: bool,
    /// Kind of the request.
    pub work: Work<'a>,
}

/// How an attempt ended, as far as it says something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered. Holds the response time if it says something about the endpoint's
    /// speed.
    Answered(Option<Duration>),
    /// The endpoint answered with an error of its own.
    Error,
    /// The connection failed, or the answer was missing or invalid.
    Broken,
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint refused the request without stating that it has not run, so that it may have failed after its
    /// work. One that refuses at once must not count as fast.
    UnconfirmedRefusal,
    /// The caller left, or the attempt says nothing about the endpoint for another reason.
    Inconclusive,
}

/// Attempt in progress, for [`EndpointChoice::finish`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedAttempt {
    /// Endpoint that the attempt goes to.
    pub endpoint: EndpointName,
    /// The endpoint's process.
    pub process: ProcessKey,
    role: Role,
    prompt_tokens: u32,
    /// Whether the endpoint was silent for long during the attempt.
    is_silent: bool,
}

/// What this VM has observed of one endpoint.
#[derive(Debug, Default)]
struct EndpointState {
    /// Attempts of this VM in flight.
    in_flight: u32,
    /// Prompt tokens of this VM's attempts that the engine has yet to read.
    unread_tokens: u64,
    circuit: Circuit,
    /// Moving average of the response time, if there is one.
    mean_time_ms: Option<f64>,
    /// Time of the newest response in the moving average.
    observed_at: Time,
    /// Time until which the endpoint counts as full.
    full_until: Time,
    /// Times of the requests sent within the last second while the endpoint was cold.
    cold_sent_at: SmallVec<[Time; 4]>,
    /// Times at which requests chose the cold endpoint that are sent once their connections are open.
    cold_reserved_at: SmallVec<[Time; 4]>,
    /// Time of the last attempt that ended as [`AttemptEnd::Broken`] or [`AttemptEnd::UnconfirmedRefusal`].
    failed_at: Option<Time>,
}

/// Chooses endpoints by what this VM has observed of them.
#[derive(Debug, Default)]
pub struct EndpointChoice {
    config: ChoiceConfig,
    states: HashMap<EndpointName, EndpointState>,
}

/// Time for which an endpoint that refused a request as full is avoided.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Time for which requests that run at most once avoid an endpoint after a failure.
const FAILURE_AVOIDANCE: Duration = Duration::from_secs(3);
/// Length of the sliding window in which requests to a cold endpoint are limited.
const COLD_WINDOW: Duration = Duration::from_millis(1_050);
/// Response time that is assumed before the first observation, in milliseconds.
const DEFAULT_TIME_MS: f64 = 50.0;
/// Number of engines after those of a prefix that are tried before a random one.
const FOLLOWING_ENGINES: usize = 2;

impl EndpointChoice {
    /// Creates a choice without observations.
    pub fn new(config: ChoiceConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
        }
    }

    /// Returns the endpoint to try next. `cold_limit_per_s` returns how many requests a second this
    /// VM may send to a cold endpoint.
    pub fn choose(
        &self,
        now: Time,
        candidates: &[Arc<Endpoint>],
        request: EndpointRequest<'_>,
        cold_limit_per_s: impl Fn(&Endpoint) -> usize,
    ) -> Option<Arc<Endpoint>> {
        let pool = self.pool(now, candidates, request, cold_limit_per_s);
        let median_ms = self.median_ms(&pool);
        match request.work {
            Work::Plain => self.fastest(now, &pool, request.own_data_centre, median_ms),
            Work::Generation {
                prompt_prefix,
                prompt_tokens,
                preferred_data_centre,
                ..
            } => self
                .affine_engine(now, &pool, prompt_prefix, prompt_tokens, median_ms)
                .or_else(|| self.fastest(now, &pool, preferred_data_centre, median_ms)),
        }
        .cloned()
    }

    /// Returns the endpoint to try next, by the loads that the endpoints report. Chooses as
    /// [`Self::choose`] does if none of them reports how long work takes.
    pub fn choose_by_load(
        &self,
        now: Time,
        candidates: &[Arc<Endpoint>],
        request: EndpointRequest<'_>,
        cold_limit_per_s: impl Fn(&Endpoint) -> usize,
        loads: &EngineLoad,
        random: &mut impl RngExt,
    ) -> Option<Arc<Endpoint>> {
        let pool = self.pool(now, candidates, request, &cold_limit_per_s);
        let Some(loaded) = with_loads(now, &pool, loads) else {
            return self.choose(now, candidates, request, cold_limit_per_s);
        };
        let median_ms = self.median_ms(&pool);
        let plain_cost = |loaded: &LoadedEndpoint<'_>| {
            let usual_ms = self.expected_time_ms(now, loaded.endpoint, median_ms);
            let distance_ms = match loaded.endpoint.data_centre == *request.own_data_centre {
                true => 0.0,
                false => self.config.distance_ms,
            };
            loaded.plain_cost_ms(usual_ms) + distance_ms
        };
        let Work::Generation {
            prompt_prefix,
            prompt_tokens,
            shared_tokens,
            ..
        } = request.work
        else {
            let loaded: Vec<_> = loaded.iter().collect();
            let chosen = better_of_two(&loaded, plain_cost, GOOD_RATIO, random);
            return chosen.map(|loaded| Arc::clone(loaded.endpoint));
        };
        let prompt = Prompt {
            tokens: prompt_tokens,
            shared_tokens,
        };
        let costs = PromptCosts::new(prompt, &loaded, loads.mean_prompt_tokens());
        let is_slow = |endpoint: &Endpoint| {
            let time_ms = self.expected_time_ms(now, endpoint, median_ms);
            time_ms > median_ms * self.config.slow_ratio
        };
        let sound = loaded.iter().filter(|engine| !is_slow(engine.endpoint));
        let mut order: Vec<&LoadedEndpoint<'_>> = sound.collect();
        order.sort_by_cached_key(|engine| !affinity(prompt_prefix, &engine.endpoint.id));
        let demand = loads.demand_tokens_per_s(now, prompt_prefix);
        let (home, others) = order.split_at(prefix_engines(demand).min(order.len()));
        let home = better_of_two(home, |engine| costs.cached(engine), f64::MAX, random);
        // Engines that follow in the order, since they may have the prefix from earlier spills.
        let followers = others.iter().take(FOLLOWING_ENGINES).copied();
        let mut affine = home.into_iter().chain(followers);
        let affine = affine.find(|engine| costs.accepts(engine, random));
        let chosen = affine.or_else(|| {
            let loaded: Vec<_> = loaded.iter().collect();
            better_of_two(&loaded, |engine| costs.uncached(engine), f64::MAX, random)
        });
        chosen.map(|engine| Arc::clone(engine.endpoint))
    }

    /// Returns the endpoints that a request may go to: the healthy ones, or if there is none all that
    /// were not tried.
    fn pool<'a>(
        &self,
        now: Time,
        candidates: &'a [Arc<Endpoint>],
        request: EndpointRequest<'_>,
        cold_limit_per_s: impl Fn(&Endpoint) -> usize,
    ) -> Vec<&'a Arc<Endpoint>> {
        let is_within_cold_limit = |endpoint: &Endpoint| {
            endpoint.cold_until <= now || {
                let recent = self.cold_count(now, &endpoint.id);
                recent < cold_limit_per_s(endpoint)
            }
        };
        let untried: Vec<&Arc<Endpoint>> = candidates
            .iter()
            .filter(|endpoint| {
                !request.tried.contains(&endpoint.id) && is_within_cold_limit(endpoint)
            })
            .collect();
        let is_healthy =
            |endpoint: &&&Arc<Endpoint>| self.is_healthy(now, endpoint, request.may_retry);
        let healthy: Vec<&Arc<Endpoint>> = untried.iter().filter(is_healthy).copied().collect();
        if healthy.is_empty() { untried } else { healthy }
    }

    /// Counts a request to an endpoint from now on that is sent once its connection is open. Otherwise
    /// requests that are read together, such as after a freeze of this VM, would all choose a cold endpoint
    /// before the first of them is sent.
    pub fn reserve(&mut self, now: Time, endpoint: &Endpoint) {
        if endpoint.cold_until > now {
            let state = self.states.entry(endpoint.id.clone()).or_default();
            state.cold_reserved_at.push(now);
        }
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Time, endpoint: &Endpoint, prompt_tokens: u32) -> StartedAttempt {
        let state = self.states.entry(endpoint.id.clone()).or_default();
        state.in_flight += 1;
        state.unread_tokens += u64::from(prompt_tokens);
        if endpoint.cold_until > now {
            let is_recent = |at: &mut Time| now.since(*at) < COLD_WINDOW;
            state.cold_sent_at.retain(is_recent);
            state.cold_reserved_at.retain(is_recent);
            if !state.cold_reserved_at.is_empty() {
                state.cold_reserved_at.remove(0);
            }
            state.cold_sent_at.push(now);
        }
        let role = if state.circuit.allows(now) {
            state.circuit.on_start()
        } else {
            Role::Ordinary
        };
        StartedAttempt {
            endpoint: endpoint.id.clone(),
            process: ProcessKey::of(endpoint),
            role,
            prompt_tokens,
            is_silent: false,
        }
    }

    /// Records that an engine has read the prompt of an attempt.
    pub fn on_prompt_read(&mut self, started: &mut StartedAttempt) {
        if let Some(state) = self.states.get_mut(&started.endpoint) {
            let tokens = u64::from(started.prompt_tokens);
            state.unread_tokens = state.unread_tokens.saturating_sub(tokens);
        }
        started.prompt_tokens = 0;
    }

    /// Records that the endpoint of an attempt is silent, which counts as its failure. The attempt goes
    /// on, and a success still counts as one.
    pub fn note_silence(&mut self, now: Time, started: &mut StartedAttempt) {
        if !std::mem::replace(&mut started.is_silent, true) {
            self.record_failure(now, started);
        }
    }

    fn record_failure(&mut self, now: Time, started: &StartedAttempt) {
        let config = self.config;
        if let Some(state) = self.states.get_mut(&started.endpoint) {
            state.circuit.on_failure(now, started.role, &config.circuit);
            state.failed_at = Some(now);
        }
    }

    /// Records the end of an attempt.
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
                    let old = state.mean_time_ms.unwrap_or(ms);
                    state.mean_time_ms = Some(old * (1.0 - weight) + ms * weight);
                    state.observed_at = now;
                }
            }
            AttemptEnd::Broken | AttemptEnd::UnconfirmedRefusal | AttemptEnd::Error
                if started.is_silent => {}
            AttemptEnd::Broken | AttemptEnd::UnconfirmedRefusal => {
                self.record_failure(now, &started);
            }
            AttemptEnd::Error => state.circuit.on_failure(now, started.role, &config.circuit),
            AttemptEnd::Full => {
                state.full_until = now + FULL_PAUSE;
                state.circuit.on_inconclusive(started.role);
            }
            AttemptEnd::Inconclusive => state.circuit.on_inconclusive(started.role),
        }
    }

    /// Removes endpoints that are no longer known and have no attempts in flight.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.states
            .retain(|id, state| state.in_flight > 0 || is_known(id));
    }

    /// Returns the number of attempts of this VM that are in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.states.get(endpoint).map_or(0, |state| state.in_flight)
    }

    /// Counts the requests that were sent to a cold endpoint within the window or have chosen it.
    fn cold_count(&self, now: Time, endpoint: &EndpointName) -> usize {
        self.states.get(endpoint).map_or(0, |state| {
            let recent = |sent: &&Time| now.since(**sent) < COLD_WINDOW;
            let times = state.cold_sent_at.iter().chain(&state.cold_reserved_at);
            times.filter(recent).count()
        })
    }

    /// Returns whether the circuit of an endpoint allows an attempt, the endpoint is not full and, for
    /// a request that runs at most once, has not failed recently.
    fn is_healthy(&self, now: Time, endpoint: &Endpoint, may_retry: bool) -> bool {
        let Some(state) = self.states.get(&endpoint.id) else {
            return true;
        };
        let failed_recently = state
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_AVOIDANCE);
        state.circuit.allows(now) && now >= state.full_until && (may_retry || !failed_recently)
    }

    /// Returns the expected response time of an endpoint: the observed mean, which fades towards
    /// the median with its age.
    fn expected_time_ms(&self, now: Time, endpoint: &Endpoint, median_ms: f64) -> f64 {
        let Some(state) = self.states.get(&endpoint.id) else {
            return median_ms;
        };
        let Some(mean_time_ms) = state.mean_time_ms else {
            return median_ms;
        };
        let age = now.since(state.observed_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / self.config.deviation_half_life.as_secs_f64());
        median_ms + (mean_time_ms - median_ms) * weight
    }

    /// Returns the median of the endpoints' mean response times.
    fn median_ms(&self, pool: &[&Arc<Endpoint>]) -> f64 {
        let mut times: SmallVec<[f64; 16]> = pool
            .iter()
            .filter_map(|endpoint| self.states.get(&endpoint.id)?.mean_time_ms)
            .collect();
        times.sort_by(f64::total_cmp);
        times
            .get(times.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_TIME_MS)
    }

    /// Returns the endpoint with the lowest cost: its expected time, scaled by its load, plus the
    /// cost of another data centre.
    fn fastest<'a>(
        &self,
        now: Time,
        pool: &[&'a Arc<Endpoint>],
        preferred_data_centre: &DataCentreName,
        median_ms: f64,
    ) -> Option<&'a Arc<Endpoint>> {
        let cost = |endpoint: &Endpoint| {
            let in_flight = f64::from(self.in_flight(&endpoint.id));
            let time_ms = self.expected_time_ms(now, endpoint, median_ms);
            let distance_ms = if endpoint.data_centre == *preferred_data_centre {
                0.0
            } else {
                self.config.distance_ms
            };
            time_ms * (1.0 + in_flight / f64::from(endpoint.slots)) + distance_ms
        };
        pool.iter()
            .min_by(|left, right| cost(left).total_cmp(&cost(right)))
            .copied()
    }

    /// Returns the engine that all VMs prefer for a prompt prefix, or the next engine in that order
    /// while the first ones are loaded or slow. The data centre is ignored: reading a shared prefix
    /// again takes an engine far more time than fetching stage results from another data centre.
    fn affine_engine<'a>(
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
        let max_in_flight = 2 + total * 2 / (order.len().max(1) as u32);
        let accepts = |endpoint: &Endpoint| {
            let Some(state) = self.states.get(&endpoint.id) else {
                return true;
            };
            let backlog = state.unread_tokens + u64::from(prompt_tokens);
            let is_backlogged =
                state.unread_tokens > 0 && backlog > self.config.prompt_backlog_tokens;
            let slow_threshold_ms = median_ms * self.config.slow_ratio;
            state.in_flight <= max_in_flight
                && !is_backlogged
                && self.expected_time_ms(now, endpoint, median_ms) <= slow_threshold_ms
        };
        order
            .into_iter()
            .map(|(_, endpoint)| endpoint)
            .find(|endpoint| accepts(endpoint))
    }
}

/// Returns the rendezvous weight of an endpoint for a prompt prefix: all VMs prefer the highest
/// one.
fn affinity(prompt_prefix: u64, endpoint: &EndpointName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prompt_prefix, endpoint.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns how many requests a second one VM may send to a cold endpoint so that the sum over
/// `vms` VMs stays within `limit_per_s`. `rank` returns this VM's position in an order of all VMs
/// that all of them agree on: if there are more VMs than requests, only the first VMs send.
pub fn cold_share(limit_per_s: f64, vms: u32, rank: impl FnOnce() -> usize) -> usize {
    let share = (limit_per_s / f64::from(vms.max(1))).floor() as usize;
    if share > 0 {
        return share;
    }
    usize::from((rank() as f64) < limit_per_s.floor())
}

/// Returns a hash of a text that is the same on all VMs that run the same build.
pub fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
