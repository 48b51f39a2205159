//! Slots of endpoints: an endpoint's allocator (the VM that owns it) divides its slots among VMs
//! (holders), which send requests only within their grants.
//!
//! A slot is the right to have one request running at the endpoint. `docs/design.md`, 3.6 gives
//! the rules for cold starts and takeover. Safety rests on the causal order of messages, not on
//! their delay: a report names the newest grant that its sender has applied, so the allocator
//! knows which of its answers preceded the report.

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

/// Settings of the slot protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsConfig {
    /// How long a grant is valid.
    pub grant_life: Duration,
    /// Maximum duration of an attempt. The work of a silent VM counts for this long after its last
    /// report or grant lapse (the later). The default is the longest deadline a manifest may set.
    pub request_life: Duration,
    /// Maximum age of what a load report describes, at the time when it is read.
    pub load_lag: Duration,
    /// Maximum delay from a change of grants until traffic uses it.
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

/// Number of concurrent requests that an endpoint can serve, from the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Concurrent requests when the endpoint is warm.
    pub warm: u32,
    /// Concurrent requests at the beginning of a cold start.
    pub cold: u32,
}

/// A holder's report to the allocator about one endpoint, part of a state message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotReport {
    /// The holder's incarnation. The work of an earlier incarnation ended with its connections.
    pub incarnation: Incarnation,
    /// Sequence of the state message. It increases with each message of this incarnation to this
    /// allocator, starting above zero.
    pub sequence: u64,
    /// Requests in flight and waiting.
    pub demand: SlotDemand,
    /// Number of attempts of this incarnation that the endpoint answered completely. It is a
    /// running total, so that a lost or duplicate report does not change the ramp.
    pub completed: u64,
    /// Sequence of the message that the newest applied grant answers; zero before the first
    /// grant.
    pub applied: u64,
    /// Sequence of a message: grants that answer earlier messages are no longer used, and
    /// `demand` counts all requests that were started under such grants.
    pub released_before: u64,
    /// Whether this VM knows of a sign of a cold start that the allocator may not have received.
    pub cold: bool,
    /// Ramp capacity that the newest grant named, so that a new allocator can continue the ramp.
    pub ramp: Option<u32>,
}

/// The allocator's answer to a [`SlotReport`], which is a grant of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotAnswer {
    /// Incarnation of the holder that sent the report. A later incarnation restarts its sequences.
    pub incarnation: Incarnation,
    /// Sequence of the report that this answers.
    pub sequence: u64,
    /// Number of requests that the holder may have in flight.
    pub slots: u32,
    /// Current capacity of an endpoint that ramps up; `None` for a warm endpoint.
    pub ramp: Option<u32>,
}

/// A message to send to a VM at once, because another VM needs slots or slots became free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUpdate {
    /// An answer to the VM's newest report, which changes the VM's slots.
    Answer,
    /// A recall: the VM holds more than its fair share and must give the grant back.
    Recall,
}
