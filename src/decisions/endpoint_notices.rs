//! What endpoints have asked of this VM in their answers: to send nothing more because they leave, or
//! nothing for a while because they are full.
//!
//! The entry of an endpoint in the platform's store says the first too, but later, and not while this VM
//! is out of touch with the store (`docs/platform.md`, "Notices of endpoints").

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::model::Endpoint;
use crate::units::{EndpointName, Time};

/// Longest pause that an endpoint may ask for. A wrong number must not take it out of use for good.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Time for which a notice is kept after the endpoint was last listed. An entry that lapsed with the store
/// may return by then.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);

/// What one answer of an endpoint asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the endpoint leaves.
    pub is_leaving: bool,
    /// Time for which the endpoint wants nothing from this VM.
    pub pause: Option<Duration>,
}

/// What is known of one endpoint.
#[derive(Debug, Default)]
struct Noticed {
    /// Start of the process that leaves, as the store gives it. An endpoint may start again under its
    /// id.
    leaving_start_ms: Option<u64>,
    paused_until: Time,
    listed_at: Time,
}

/// The notices of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointNotices {
    by_endpoint: HashMap<EndpointName, Noticed>,
}

impl EndpointNotices {
    /// Records what an answer asks for. Returns whether that is new.
    pub fn record(&mut self, now: Time, endpoint: &Endpoint, notice: Notice) -> bool {
        if notice == Notice::default() {
            return false;
        }
        let noticed = self.by_endpoint.entry(endpoint.id.clone()).or_default();
        noticed.listed_at = now;
        let was_leaving = noticed.leaving_start_ms == Some(endpoint.started_ms);
        if notice.is_leaving {
            noticed.leaving_start_ms = Some(endpoint.started_ms);
        }
        let was_paused = noticed.paused_until > now;
        if let Some(pause) = notice.pause {
            noticed.paused_until = noticed.paused_until.max(now + pause.min(MAX_PAUSE));
        }
        notice.is_leaving && !was_leaving || notice.pause.is_some() && !was_paused
    }

    /// Returns whether there are no notices at all.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// Returns whether calls may be sent to an endpoint now.
    pub fn allows(&self, now: Time, endpoint: &Endpoint) -> bool {
        self.by_endpoint.get(&endpoint.id).is_none_or(|noticed| {
            noticed.leaving_start_ms != Some(endpoint.started_ms) && noticed.paused_until <= now
        })
    }

    /// Returns the time until an endpoint takes calls again; `None` if it does now or leaves.
    pub fn paused_for(&self, now: Time, endpoint: &Endpoint) -> Option<Duration> {
        let noticed = self.by_endpoint.get(&endpoint.id)?;
        let is_leaving = noticed.leaving_start_ms == Some(endpoint.started_ms);
        (!is_leaving && noticed.paused_until > now).then(|| noticed.paused_until.since(now))
    }

    /// Drops the notices that are over, and those of endpoints that are no longer listed.
    pub fn retain(&mut self, now: Time, is_listed: impl Fn(&EndpointName) -> bool) {
        self.by_endpoint.retain(|id, noticed| {
            if is_listed(id) {
                noticed.listed_at = now;
            }
            let is_leaving = noticed.leaving_start_ms.is_some();
            let is_kept = now.since(noticed.listed_at) < KEPT_UNLISTED;
            is_leaving && is_kept || noticed.paused_until > now
        });
    }
}
