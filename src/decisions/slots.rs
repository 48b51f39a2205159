//! Slots of endpoints: the allocator divides them, holders send only within their grants.
//!
//! `docs/design.md`, 3.6 gives the rules for cold starts and takeover. The safety argument
//! rests on cause and effect between messages, not on their delay: a report names the
//! newest grant that its sender has applied, so the allocator knows what the report came after.

mod allocator;
mod division;
mod holder;
mod holder_record;
mod ramp;

use std::time::Duration;

pub use allocator::SlotAllocator;
pub use holder::{MeasuredDemand, SlotHolder};

use crate::blackboard::SlotDemand;
use crate::units::Incarnation;

/// Settings of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsConfig {
    /// How long a grant is valid.
    pub grant_life: Duration,
    /// Maximum time that an attempt runs. A silent VM's work counts for this long after its
    /// last grant lapsed. The default is the longest deadline that a manifest may have.
    pub request_life: Duration,
    /// A load report describes the endpoint at most this long before it was read.
    pub load_lag: Duration,
    /// Maximum time from a change of grants to its use by traffic.
    pub publication_lag: Duration,
}

impl Default for SlotsConfig {
    fn default() -> Self {
        Self {
            grant_life: Duration::from_secs(1),
            request_life: Duration::from_secs(600),
            load_lag: Duration::from_secs(1),
            publication_lag: Duration::from_millis(20),
        }
    }
}

/// What the manifest says an endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests at once when warm.
    pub warm: u32,
    /// Requests at once in a cold start.
    pub cold: u32,
}

/// What a holder tells the allocator about one endpoint, as part of a state message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotReport {
    /// The holder's incarnation. Work of an earlier one ended with its connections.
    pub incarnation: Incarnation,
    /// Rises with each state message of this incarnation to this allocator, starting above zero.
    pub sequence: u64,
    /// Requests in flight and waiting.
    pub demand: SlotDemand,
    /// Attempts of this incarnation that the endpoint answered whole. It is a running total, so
    /// that a lost or repeated report does not change the ramp.
    pub completed: u64,
    /// Sequence that the newest grant applied answers; zero before the first.
    pub applied: u64,
    /// No grant that answers a message before this one is used any more, and `demand`
    /// counts all that was started under such grants.
    pub released_before: u64,
    /// Set while the allocator may not have heard of a cold sign that this VM saw.
    pub cold: bool,
    /// Ramp capacity that the newest grant named, for a successor of its allocator.
    pub ramp: Option<u32>,
}

/// What the allocator answers to a [`SlotReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotAnswer {
    /// Incarnation of the holder that sent the report; a later one counts its sequences anew.
    pub incarnation: Incarnation,
    /// Sequence of the report that this answers.
    pub sequence: u64,
    /// Requests that the holder may have in flight.
    pub slots: u32,
    /// Capacity of an endpoint that ramps up; `None` for a warm one.
    pub ramp: Option<u32>,
}

/// What must be sent to a VM at once, because another one needs slots or slots came free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUpdate {
    /// An answer to its newest report changes what it has.
    Answer,
    /// It holds more than its part and gives the grant back.
    Recall,
}
