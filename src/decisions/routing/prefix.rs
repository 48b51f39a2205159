//! Which engines probably have a prompt prefix cached.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use smallvec::SmallVec;

use crate::units::{EndpointName, Time};

/// Settings of the prefix memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixConfig {
    /// Prefixes remembered; the least recently sent goes first.
    pub prefix_limit: NonZeroUsize,
    /// How long an engine is expected to keep a prefix after it last got it. Cache events
    /// come late and with gaps, so what was sent is the better sign.
    pub memory: Duration,
}

impl Default for PrefixConfig {
    fn default() -> Self {
        Self {
            prefix_limit: NonZeroUsize::MIN.saturating_add(4095),
            memory: Duration::from_secs(60),
        }
    }
}

/// Engines remembered per prefix: one that has it, and one that took over at high load.
const ENGINES_PER_PREFIX: usize = 2;

/// Where prefixes were last sent.
#[derive(Debug)]
pub(super) struct PrefixMemory {
    config: PrefixConfig,
    sent: LruCache<u64, SmallVec<[(EndpointName, Time); ENGINES_PER_PREFIX]>>,
}

impl PrefixMemory {
    pub(super) fn new(config: PrefixConfig) -> Self {
        Self {
            config,
            sent: LruCache::new(config.prefix_limit),
        }
    }

    pub(super) fn on_sent(&mut self, now: Time, prefix: u64, endpoint: &EndpointName) {
        let engines = self.sent.get_or_insert_mut(prefix, SmallVec::new);
        engines.retain(|(other, _)| other != endpoint);
        engines.insert(0, (endpoint.clone(), now));
        engines.truncate(ENGINES_PER_PREFIX);
    }

    /// An engine in a cold start has lost its cache.
    pub(super) fn forget(&mut self, endpoint: &EndpointName) {
        for (_, engines) in self.sent.iter_mut() {
            engines.retain(|(other, _)| other != endpoint);
        }
    }

    pub(super) fn holds(&self, now: Time, prefix: u64, endpoint: &EndpointName) -> bool {
        let engines = self.sent.peek(&prefix);
        engines.is_some_and(|engines| {
            let mut engines = engines.iter();
            engines.any(|(other, at)| other == endpoint && now.since(*at) < self.config.memory)
        })
    }
}
