//! State that a batcher keeps for one endpoint.

use crate::decisions::batching::BatchingConfig;
use crate::decisions::circuit::Circuit;
use crate::units::Time;

/// State that a batcher keeps for an endpoint: its calls, speed and result memory.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    /// Number of calls in flight at the endpoint.
    pub(super) calls: u32,
    pub(super) circuit: Circuit,
    /// Moving average of the call time as a multiple of the configured time; 0 before the first
    /// call has ended.
    pub(super) slowness: f64,
    pub(super) last_call_at: Time,
    /// Time until which the endpoint gets no calls, because it had no result memory left.
    pub(super) paused_until: Time,
    /// Result memory that is reserved for the calls in flight.
    pub(super) reserved_bytes: u64,
    /// Number of results of this batcher's calls that the endpoint holds.
    pub(super) stored_results: usize,
    /// Result memory that these results take.
    pub(super) stored_bytes: u64,
    pub(super) memory: ResultMemory,
}

/// Result memory that others than this batcher use at an endpoint: results of a VM that batched
/// for the service before, or does so at the same time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResultMemory {
    /// The endpoint has not been asked yet, or has run out of memory since.
    #[default]
    Unknown,
    /// The endpoint was asked at this time.
    Asked(Time),
    /// Others use this many bytes, according to the answer or question at this time.
    UsedByOthers(u64, Time),
}

impl EndpointState {
    /// Returns whether the endpoint is to be asked for its free result memory.
    pub(super) fn should_ask_for_memory(&self, now: Time, config: &BatchingConfig) -> bool {
        match self.memory {
            ResultMemory::Unknown => true,
            ResultMemory::Asked(at) => now.since(at) >= config.memory_ask_period,
            ResultMemory::UsedByOthers(0, _) => false,
            ResultMemory::UsedByOthers(_, at) => now.since(at) >= config.memory_ask_period,
        }
    }

    /// Returns the result memory that others than this batcher use, 0 if it is unknown.
    pub(super) fn others_bytes(&self) -> u64 {
        match self.memory {
            ResultMemory::UsedByOthers(bytes, _) => bytes,
            ResultMemory::Unknown | ResultMemory::Asked(_) => 0,
        }
    }

    /// Returns the result memory that is used or reserved, including the part that others use.
    pub(super) fn used_bytes(&self) -> u64 {
        self.stored_bytes + self.reserved_bytes + self.others_bytes()
    }
}
