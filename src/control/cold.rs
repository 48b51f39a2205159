//! Signs of cold starts: noted, reported to the allocator, and sent to all peers as notices.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::blackboard::Catalogue;
use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::units::{EndpointName, Time};

/// Signs of one cold start closer together than this are one episode: holders drop their
/// grants at its first sign only, since later grants count the cold capacity already.
const EPISODE_GAP: Duration = Duration::from_secs(1);
/// Minimum time between notices on one endpoint to peers.
const NOTICE_GAP: Duration = Duration::from_millis(200);
/// How long a notice is repeated, so that a lost message loses none.
const NOTICE_LIFE: Duration = Duration::from_secs(1);

/// Signs of cold starts, own and of peers.
#[derive(Debug, Default)]
pub struct ColdSigns {
    signs: HashMap<EndpointName, ColdSign>,
    last_number: u64,
}

#[derive(Debug, Default, Clone, Copy)]
struct ColdSign {
    last_seen_at: Time,
    notified_at: Option<Time>,
    number: u64,
}

impl ColdSigns {
    /// Notes a sign and returns whether it begins an episode.
    fn record_sign(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let starts_episode = match self.signs.get(endpoint) {
            None => true,
            Some(sign) => now.since(sign.last_seen_at) >= EPISODE_GAP,
        };
        self.signs.entry(endpoint.clone()).or_default().last_seen_at = now;
        starts_episode
    }

    /// Numbers a new notice for peers, unless the last one is too recent.
    fn issue_notice(&mut self, now: Time, endpoint: &EndpointName) {
        let sign = self.signs.entry(endpoint.clone()).or_default();
        if sign
            .notified_at
            .is_some_and(|at| now.since(at) < NOTICE_GAP)
        {
            return;
        }
        self.last_number += 1;
        sign.number = self.last_number;
        sign.notified_at = Some(now);
    }

    /// Returns the notices to send now.
    pub fn notices_to_send(&self, now: Time) -> impl Iterator<Item = (&EndpointName, u64)> {
        let recent = move |sign: &ColdSign| {
            sign.notified_at
                .is_some_and(|at| now.since(at) < NOTICE_LIFE)
        };
        let signs = self.signs.iter();
        signs
            .filter(move |(_, sign)| recent(sign))
            .map(|(endpoint, sign)| (endpoint, sign.number))
    }

    /// Returns when the last sign was seen.
    pub fn last_seen_at(&self, endpoint: &EndpointName) -> Option<Time> {
        self.signs.get(endpoint).map(|sign| sign.last_seen_at)
    }

    /// Forgets endpoints.
    pub fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.signs.retain(|endpoint, _| keep(endpoint));
    }
}

impl ControlState {
    /// Notes a sign of a cold start and returns whether it begins an episode. The own grant
    /// is dropped then, until the allocator gives a new one.
    pub fn record_cold_sign(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let starts_episode = self.cold_signs.record_sign(now, endpoint);
        if starts_episode {
            let config = self.slots_config;
            self.holder.on_cold_sign(now, endpoint, &config);
            self.note_smaller_grant(now, endpoint);
        }
        if self.allocates(now, endpoint) {
            self.allocator.on_cold(now, endpoint);
        }
        starts_episode
    }

    /// Treats endpoints that may get work again as after a cold start, so that load returns
    /// to them step by step.
    pub fn ramp_returning_endpoints(&mut self, now: Time, next: &Catalogue) {
        let Some(current) = self.catalogue.clone() else {
            return;
        };
        for endpoint in &next.manifest.endpoints {
            let before = current.endpoint(&endpoint.name);
            let was_out = before.is_some_and(|before| !current.accepts_work(before));
            if was_out && next.accepts_work(endpoint) {
                self.record_cold_sign(now, &endpoint.name);
            }
        }
    }
}

impl Control {
    /// Takes a sign of a cold start that this VM saw and notifies all peers.
    pub fn handle_cold_sign(&self, endpoint: &EndpointName, source: &str) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let is_in_manifest = |catalogue: &Arc<Catalogue>| catalogue.endpoint(endpoint).is_some();
        if !state.catalogue.as_ref().is_some_and(is_in_manifest) {
            return;
        }
        let starts_episode = state.record_cold_sign(now, endpoint);
        let is_allocator = state.allocator_of(now, endpoint).as_ref() == Some(&self.context.vm);
        // Later signs concern the allocator only; the next periodic message takes them there.
        if starts_episode || !is_allocator {
            state.cold_signs.issue_notice(now, endpoint);
        }
        if is_allocator {
            state.send_due_updates(now, endpoint);
        }
        drop(state);
        if starts_episode {
            info!(self.logger(), "slots: {endpoint} is cold"; "source" => source);
            self.report_to_self();
            self.wake_peers();
        }
    }
}
