//! Remembers which engines probably have a prompt prefix cached.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use smallvec::SmallVec;

use crate::units::{EndpointName, Time};

/// Settings of the memory of sent prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixConfig {
    /// Maximum number of remembered prefixes; the least recently sent prefix is evicted first.
    pub prefix_limit: NonZeroUsize,
    /// Time for which an engine is expected to keep a prefix cached after it last got the prefix.
    /// Cache events arrive late and with gaps, so the prefixes sent to an engine are the better
    /// evidence of what it has cached.
    pub retention: Duration,
}

impl Default for PrefixConfig {
    fn default() -> Self {
        Self {
            prefix_limit: NonZeroUsize::MIN.saturating_add(4095),
            retention: Duration::from_secs(60),
        }
    }
}

/// Number of engines remembered per prefix: one that has the prefix cached, and one that took over
/// at high load.
const ENGINES_PER_PREFIX: usize = 2;

/// Engines that prefixes were last sent to.
#[derive(Debug)]
pub(super) struct PrefixMemory {
    config: PrefixConfig,
    /// Engines that got a prefix with the time of the last send, newest first, by prefix hash.
    sent: LruCache<u64, SmallVec<[(EndpointName, Time); ENGINES_PER_PREFIX]>>,
}

impl PrefixMemory {
    pub(super) fn new(config: PrefixConfig) -> Self {
        Self {
            config,
            sent: LruCache::new(config.prefix_limit),
        }
    }

    /// Records that a prefix was sent to an engine.
    pub(super) fn on_sent(&mut self, now: Time, prefix: u64, endpoint: &EndpointName) {
        let engines = self.sent.get_or_insert_mut(prefix, SmallVec::new);
        engines.retain(|(other, _)| other != endpoint);
        engines.insert(0, (endpoint.clone(), now));
        engines.truncate(ENGINES_PER_PREFIX);
    }

    /// Forgets all prefixes of an engine that is in a cold start and has therefore lost its cache.
    pub(super) fn forget(&mut self, endpoint: &EndpointName) {
        for (_, engines) in self.sent.iter_mut() {
            engines.retain(|(other, _)| other != endpoint);
        }
    }

    /// Returns whether an engine got a prefix within the retention time.
    pub(super) fn is_probably_cached(
        &self,
        now: Time,
        prefix: u64,
        endpoint: &EndpointName,
    ) -> bool {
        let engines = self.sent.peek(&prefix);
        engines.is_some_and(|engines| {
            let mut engines = engines.iter();
            engines.any(|(other, at)| other == endpoint && now.since(*at) < self.config.retention)
        })
    }
}
