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
    pub(super) room: Room,
}

/// What is known of room that others than this batcher take at an endpoint: results of a VM
/// that batched before, or does so at the same time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Room {
    /// The endpoint is to be asked.
    #[default]
    Unknown,
    /// It was asked.
    Asked(Time),
    /// Others took this much.
    Taken(u64, Time),
}

impl EndpointState {
    /// Returns whether the endpoint should say how much room it has.
    pub(super) fn is_room_due(&self, now: Time, config: &BatchingConfig) -> bool {
        match self.room {
            Room::Unknown => true,
            Room::Asked(at) => now.since(at) >= config.room_ask_period,
            Room::Taken(0, _) => false,
            Room::Taken(_, at) => now.since(at) >= config.room_ask_period,
        }
    }

    /// Returns the room that others take.
    pub(super) fn others_bytes(&self) -> u64 {
        match self.room {
            Room::Taken(bytes, _) => bytes,
            Room::Unknown | Room::Asked(_) => 0,
        }
    }

    /// Returns the room that is taken or promised.
    pub(super) fn used_bytes(&self) -> u64 {
        let kept: u64 = self.results.values().map(|(bytes, _)| bytes).sum();
        kept + self.reserved_bytes + self.others_bytes()
    }
}
