//! Keeps long prompts and short ones at different engines while there are many long ones.
//!
//! An engine reads prompts in pieces between the tokens of its running streams, so a long prompt delays the
//! events of all streams beside it and the first events of the prompts behind it. No VM sees more than a few of
//! the prompts that an engine reads. So VMs agree without a message: all have the same order of engines, and
//! the first ones in it, in proportion to the load of long prompts that each VM sees, are those that long
//! prompts prefer and short ones avoid (`docs/design/long-prompts.md`). This handles mixed lengths, waves of
//! long prompts, and the loss of engines.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::endpoint_choice::affinity;
use crate::units::{EndpointName, ServiceName, Time};

/// Settings of [`PromptPlacement`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementConfig {
    /// Minimum number of tokens of a long prompt, in its shared parts or in the others. Engines read about 40
    /// tokens a millisecond, so that they take a third of a pause target of 300 ms.
    pub long_prompt_tokens: u32,
    /// Part of the shared tokens that engines are assumed to read, since the first request of a prefix reads it
    /// and cached parts yield to others. A VM sees too few requests of a prefix to observe it.
    pub uncached_part: f64,
    /// Prompt tokens that cost an engine as much as one generated token: each stream makes the step that
    /// generates a token for all streams longer.
    pub output_token_cost: f64,
    /// Half-life of the load that was seen, by time. The share of the long prompts follows a wave in about this
    /// time.
    pub half_life: Duration,
    /// Half-life of the load that was seen, by prompts. A VM that sees few prompts takes longer than
    /// [`Self::half_life`], since the lengths of a handful of prompts say little about the mix.
    pub half_life_prompts: f64,
    /// Number of steps into which the engines are divided. The share moves by whole steps, so that
    /// prefixes rarely change their engine.
    pub steps: u32,
    /// Difference from the present step at which the share moves, in steps. VMs do not move to and fro while the
    /// mix stays, and while less than this many steps of the load are long all engines serve all prompts.
    pub hysteresis_steps: f64,
    /// Minimum number of recent long prompts for the engines to be divided at all. One long prompt is a large
    /// part of what a VM has seen lately, but no sign of a mix.
    pub min_long_prompts: f64,
    /// Maximum of the steps that long prompts take, so that short ones keep engines of their own.
    pub max_long_steps: u32,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            long_prompt_tokens: 4_000,
            uncached_part: 0.5,
            output_token_cost: 4.0,
            half_life: Duration::from_secs(1),
            half_life_prompts: 16.0,
            steps: 16,
            hysteresis_steps: 1.5,
            min_long_prompts: 1.5,
            max_long_steps: 14,
        }
    }
}

/// What a generation costs an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the parts that other requests share and engines cache.
    pub shared_tokens: u32,
    /// Tokens of the other parts, which an engine always reads.
    pub unshared_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub output_tokens: u32,
}

/// Where a prompt goes: which engines the long prompts prefer, and whether it is one of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptPreference {
    /// Whether the prompt is long.
    pub is_long: bool,
    /// Part of the engines that long prompts prefer, from 0 to 1.
    pub long_share: f64,
}

/// Load of the generations of one service, as one VM sees it.
#[derive(Debug, Default)]
struct PromptMix {
    /// Load of all prompts, in prompt tokens; older ones count for less.
    total: f64,
    /// Load of the long ones among them.
    long: f64,
    /// Number of the long ones; older ones count for less.
    long_prompts: f64,
    newest_at: Time,
    /// Present share of the long prompts, in steps.
    long_steps: u32,
}

/// Divides the engines of each service between long prompts and short ones by their load.
#[derive(Debug, Default)]
pub struct PromptPlacement {
    config: PlacementConfig,
    mixes: HashMap<ServiceName, PromptMix>,
}

impl PromptPlacement {
    /// Creates a placement that has seen no prompts.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            mixes: HashMap::new(),
        }
    }

    /// Records a generation that is sent to an engine. Returns the new share of the engines that long prompts
    /// prefer, in steps, if it has changed.
    pub fn record(&mut self, now: Time, service: &ServiceName, size: PromptSize) -> Option<u32> {
        let config = self.config;
        let is_long = self.is_long(size);
        let mix = self.mixes.entry(service.clone()).or_default();
        let age_s = now.since(mix.newest_at).as_secs_f64();
        let half_lives = age_s / config.half_life.as_secs_f64();
        let decay = 0.5_f64.powf(half_lives.min(1.0 / config.half_life_prompts));
        let load = f64::from(size.unshared_tokens)
            + config.uncached_part * f64::from(size.shared_tokens)
            + config.output_token_cost * f64::from(size.output_tokens);
        mix.newest_at = now;
        mix.total = mix.total * decay + load;
        mix.long = mix.long * decay + if is_long { load } else { 0.0 };
        mix.long_prompts = mix.long_prompts * decay + f64::from(u8::from(is_long));
        if mix.long_steps == 0 && mix.long_prompts < config.min_long_prompts {
            return None;
        }
        let share = mix.long / mix.total.max(1.0);
        let steps = (share * f64::from(config.steps)).min(f64::from(config.max_long_steps));
        if (steps - f64::from(mix.long_steps)).abs() <= config.hysteresis_steps {
            return None;
        }
        mix.long_steps = steps.round() as u32;
        Some(mix.long_steps)
    }

    /// Returns where a prompt of a service goes; `None` while all engines serve all prompts.
    pub fn preference(&self, service: &ServiceName, size: PromptSize) -> Option<PromptPreference> {
        let long_steps = self.mixes.get(service)?.long_steps;
        (long_steps > 0).then(|| PromptPreference {
            is_long: self.is_long(size),
            long_share: f64::from(long_steps) / f64::from(self.config.steps),
        })
    }

    /// Drops the services that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.mixes.retain(|service, _| is_kept(service));
    }

    /// Returns whether a prompt is long. All prompts with the same large shared part are, whatever follows it:
    /// each of them may have to read it, and they stay together at the engine that has it cached. After a
    /// small shared part only the long prompts change their engine, and they read more than they find there.
    fn is_long(&self, size: PromptSize) -> bool {
        size.unshared_tokens.max(size.shared_tokens) >= self.config.long_prompt_tokens
    }
}

/// Rendezvous key of the order of engines that are given to long prompts. It is no prefix of a prompt, so that
/// this order is independent of those of the prefixes.
const LONG_PROMPT_ENGINES_KEY: u64 = 0x6c6f_6e67_7072_6f6d;

/// Moves the engines that a prompt prefers to the front of `engines` and keeps their order otherwise. The
/// others follow, for when all preferred ones are loaded.
pub fn prefer_engines<T>(
    engines: &mut [T],
    id: impl Fn(&T) -> &EndpointName,
    preference: PromptPreference,
) {
    let count = engines.len();
    if count < 2 {
        return;
    }
    let weight = |engine: &T| affinity(LONG_PROMPT_ENGINES_KEY, id(engine));
    let mut weights: SmallVec<[u64; 64]> = engines.iter().map(weight).collect();
    weights.sort_unstable();
    let long_count = (preference.long_share * count as f64).round() as usize;
    let first_short = weights[long_count.clamp(1, count - 1)];
    engines.sort_by_cached_key(|engine| (weight(engine) < first_short) != preference.is_long);
}
