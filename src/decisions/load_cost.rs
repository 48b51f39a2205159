//! Compares endpoints by the load that they report.
//!
//! All VMs read the same reports, which are some hundred milliseconds old. If each VM took the endpoint
//! that looks best, all of them would take the same one until the next report. So a plain request goes to
//! the better one of two that are chosen at random among the good ones. A popular prompt prefix is spread
//! over as many engines as the demand for it needs, in the same way, and they are left with a probability
//! that rises with their load (`docs/design/endpoint-load.md`).

use std::sync::Arc;

use rand::RngExt;
use smallvec::SmallVec;

use crate::decisions::engine_load::{EngineLoad, LoadEstimate, ProcessKey};
use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Factor by which the cost of a good endpoint for a plain request may exceed that of the best one.
pub const GOOD_RATIO: f64 = 1.5;
/// Prompt tokens in a second up to which an engine takes prompts of one prefix: half of what engines
/// commonly read, so that it has time for other prompts and for generating.
const PREFIX_TOKENS_PER_S: f64 = 25_000.0;
/// Number of further attempts that a failure costs a request: the time of the failed one, and the risk
/// that it has run and cannot be sent again.
const FAILURE_COST: f64 = 8.0;
/// Share of the tokens of a waiting prompt that its engine has to read; the rest is cached there.
const UNREAD_SHARE: f64 = 0.5;
/// Share of the gain of a cached prefix up to which the wait for it is always accepted. Above, the
/// probability falls to 0 where the wait uses up the whole gain.
const SURE_WAIT_SHARE: f64 = 0.5;
/// Quantile of the engines' costs that stands for the engine that a prompt goes to otherwise: the better
/// one of two random engines.
const ALTERNATIVE_QUANTILE: f64 = 1.0 / 3.0;

/// An endpoint with the load that is expected of it now.
pub struct LoadedEndpoint<'a> {
    /// The endpoint.
    pub endpoint: &'a Arc<Endpoint>,
    running: f64,
    waiting: f64,
    slots: f64,
    work_factor: f64,
    failure_factor: f64,
    own_sends: f64,
    own_prompt_tokens: f64,
}

/// Returns the endpoints with their loads; `None` if none of them reports how long work takes. An
/// endpoint with an old report counts as loaded as the others, more so the older it is.
pub fn with_loads<'a>(
    now: Time,
    pool: &[&'a Arc<Endpoint>],
    loads: &EngineLoad,
) -> Option<Vec<LoadedEndpoint<'a>>> {
    if loads.is_empty() {
        return None;
    }
    let estimate = |endpoint: &&'a Arc<Endpoint>| {
        let estimate = loads.estimate(now, ProcessKey::of(endpoint));
        (*endpoint, estimate)
    };
    let estimates: Vec<_> = pool.iter().map(estimate).collect();
    let known = || estimates.iter().filter_map(|(_, estimate)| *estimate);
    known().next()?;
    let weight: f64 = known().map(|load| load.queue_weight).sum();
    let mean = |count: fn(&LoadEstimate) -> u32| {
        let sum: f64 = known()
            .map(|load| f64::from(count(&load)) * load.queue_weight)
            .sum();
        sum / weight.max(f64::MIN_POSITIVE)
    };
    let mean_running = mean(|load| load.report.running);
    let mean_waiting = mean(|load| load.report.waiting);
    let loaded = estimates.iter().map(|(endpoint, estimate)| {
        let faded = |mean: f64, count: fn(&LoadEstimate) -> u32| {
            estimate.map_or(mean, |load| {
                mean + (f64::from(count(&load)) - mean) * load.queue_weight
            })
        };
        let slots = estimate.map_or(endpoint.slots, |load| load.report.slots.min(endpoint.slots));
        LoadedEndpoint {
            endpoint,
            running: faded(mean_running, |load| load.report.running),
            waiting: faded(mean_waiting, |load| load.report.waiting),
            slots: f64::from(slots.max(1)),
            work_factor: estimate.map_or(1.0, |load| load.work_factor),
            failure_factor: 1.0 + FAILURE_COST * estimate.map_or(0.0, |load| load.failure_share),
            own_sends: estimate.map_or(0.0, |load| f64::from(load.own_sends)),
            own_prompt_tokens: estimate.map_or(0.0, |load| load.own_prompt_tokens as f64),
        }
    });
    Some(loaded.collect())
}

impl LoadedEndpoint<'_> {
    /// Returns the expected time of a plain request that takes `usual_ms` at the endpoint without load.
    pub fn plain_cost_ms(&self, usual_ms: f64) -> f64 {
        let busy = self.running + self.waiting + self.own_sends;
        let excess = (busy + 1.0 - self.slots).max(0.0);
        let load = 1.0 + (busy + excess) / self.slots;
        usual_ms * self.work_factor * load * self.failure_factor
    }

    /// Returns what a prompt costs at the engine of which it has to read `unread_tokens`: that number
    /// and what it reads first, scaled by how slowly it reads now.
    fn prompt_cost(&self, unread_tokens: f64, mean_prompt_tokens: f64) -> f64 {
        let waiting_tokens = self.waiting * mean_prompt_tokens * UNREAD_SHARE;
        let queue_tokens = waiting_tokens + self.own_prompt_tokens;
        let slowdown = self.work_factor * (1.0 + self.running / self.slots);
        (queue_tokens + unread_tokens) * slowdown * self.failure_factor
    }
}

/// Prompt of a generation.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u32,
    /// Length of the prefix that it shares with other prompts.
    pub shared_tokens: u32,
}

/// Returns over how many engines the prompts with a prefix are spread. The demand decides, and not the
/// reports alone: between two reports an engine that looks idle would get all of them.
pub fn prefix_engines(demand_tokens_per_s: f64) -> usize {
    (demand_tokens_per_s / PREFIX_TOKENS_PER_S).ceil().max(1.0) as usize
}

/// Decides which engine reads a prompt.
pub struct PromptCosts {
    tokens: f64,
    unshared_tokens: f64,
    mean_prompt_tokens: f64,
    /// Cost at the engine that the prompt goes to if it leaves the one with its prefix.
    alternative: f64,
}

impl PromptCosts {
    /// Compares the engines for a prompt.
    pub fn new(prompt: Prompt, engines: &[LoadedEndpoint<'_>], mean_prompt_tokens: f64) -> Self {
        let tokens = f64::from(prompt.tokens);
        let unshared_tokens = f64::from(prompt.tokens.saturating_sub(prompt.shared_tokens));
        let mean_prompt_tokens = if mean_prompt_tokens > 0.0 {
            mean_prompt_tokens
        } else {
            tokens
        };
        let costs = engines.iter();
        let costs = costs.map(|engine| engine.prompt_cost(tokens, mean_prompt_tokens));
        let mut costs: Vec<f64> = costs.collect();
        let rank = (costs.len() as f64 * ALTERNATIVE_QUANTILE) as usize;
        let alternative = match costs.is_empty() {
            true => tokens,
            false => *costs.select_nth_unstable_by(rank, f64::total_cmp).1,
        };
        Self {
            tokens,
            unshared_tokens,
            mean_prompt_tokens,
            alternative,
        }
    }

    /// Returns whether an engine that has the prefix cached takes the prompt. The engine of a popular
    /// prefix would otherwise get the whole fleet's requests with it.
    pub fn accepts(&self, engine: &LoadedEndpoint<'_>, random: &mut impl RngExt) -> bool {
        let cost = self.cached(engine);
        let gain = self.alternative - self.unshared_tokens;
        if gain <= 0.0 {
            return cost <= self.alternative;
        }
        let used_share = (cost - self.unshared_tokens) / gain;
        let leave_probability = (used_share - SURE_WAIT_SHARE) / (1.0 - SURE_WAIT_SHARE);
        random.random::<f64>() >= leave_probability
    }

    /// Returns the cost of a prompt at an engine that has its prefix cached.
    pub fn cached(&self, engine: &LoadedEndpoint<'_>) -> f64 {
        engine.prompt_cost(self.unshared_tokens, self.mean_prompt_tokens)
    }

    /// Returns the cost of a prompt at an engine that has none of it cached.
    pub fn uncached(&self, engine: &LoadedEndpoint<'_>) -> f64 {
        engine.prompt_cost(self.tokens, self.mean_prompt_tokens)
    }
}

/// Returns the better one of two random endpoints among those whose cost is at most `good_ratio` times
/// that of the best.
pub fn better_of_two<'a, 'b>(
    engines: &[&'b LoadedEndpoint<'a>],
    cost: impl Fn(&LoadedEndpoint<'a>) -> f64,
    good_ratio: f64,
    random: &mut impl RngExt,
) -> Option<&'b LoadedEndpoint<'a>> {
    let costs: Vec<f64> = engines.iter().map(|engine| cost(engine)).collect();
    let best = costs.iter().copied().min_by(f64::total_cmp)?;
    let is_good = |index: &usize| costs[*index] <= best * good_ratio;
    let good: SmallVec<[usize; 32]> = (0..engines.len()).filter(is_good).collect();
    let first = random.random_range(0..good.len());
    let second = (first + random.random_range(0..good.len().max(2) - 1) + 1) % good.len();
    let (first, second) = (good[first], good[second]);
    let better = if costs[second] < costs[first] {
        second
    } else {
        first
    };
    Some(engines[better])
}
