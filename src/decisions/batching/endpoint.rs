//! What a batcher knows of one endpoint.

use std::collections::HashMap;

use crate::decisions::batching::BatchingConfig;
use crate::decisions::circuit::Circuit;
use crate::units::Time;

/// What a batcher knows of an endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    pub(super) calls: u32,
    pub(super) circuit: Circuit,
    /// Time of recent calls as a multiple of what the configuration says; 0 before the first.
    pub(super) slowness: f64,
    pub(super) last_call_at: Time,
    pub(super) paused_until: Time,
    pub(super) reserved_bytes: u64,
    pub(super) results: HashMap<String, (u64, Time)>,
    pub(super) memory: ResultMemory,
}

/// What is known of result memory that others than this batcher use at an endpoint: results of a VM
/// that batched before, or does so at the same time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResultMemory {
    /// The endpoint is to be asked.
    #[default]
    Unknown,
    /// It was asked.
    Asked(Time),
    /// Others took this much.
    Taken(u64, Time),
}

impl EndpointState {
    /// Returns whether the endpoint should say how much result memory it has.
    pub(super) fn is_memory_due(&self, now: Time, config: &BatchingConfig) -> bool {
        match self.memory {
            ResultMemory::Unknown => true,
            ResultMemory::Asked(at) => now.since(at) >= config.memory_ask_period,
            ResultMemory::Taken(0, _) => false,
            ResultMemory::Taken(_, at) => now.since(at) >= config.memory_ask_period,
        }
    }

    /// Returns the result memory that others use.
    pub(super) fn others_bytes(&self) -> u64 {
        match self.memory {
            ResultMemory::Taken(bytes, _) => bytes,
            ResultMemory::Unknown | ResultMemory::Asked(_) => 0,
        }
    }

    /// Returns the result memory that is used or promised.
    pub(super) fn used_bytes(&self) -> u64 {
        let kept: u64 = self.results.values().map(|(bytes, _)| bytes).sum();
        kept + self.reserved_bytes + self.others_bytes()
    }
}
