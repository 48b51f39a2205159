//! Signs of cold starts: recorded, passed to the endpoint's allocator, and sent to all peers as
//! numbered notices.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::blackboard::Catalogue;
use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::units::{EndpointName, Time};

/// Minimum time without a sign before the next sign starts a new episode. Holders drop their grant
/// at the first sign of an episode only, since later grants are based on the cold capacity already.
const EPISODE_GAP: Duration = Duration::from_secs(1);
/// Minimum interval between two new notices about one endpoint.
const NOTICE_GAP: Duration = Duration::from_millis(200);
/// Time for which every message repeats a notice, so that a lost message doesn't lose the notice.
const NOTICE_LIFE: Duration = Duration::from_secs(1);

/// Cold starts of which this VM or a peer saw a sign, by endpoint.
#[derive(Debug, Default)]
pub struct ColdSigns {
    signs: HashMap<EndpointName, ColdSign>,
    last_notice_number: u64,
}

#[derive(Debug, Default, Clone, Copy)]
struct ColdSign {
    last_seen_at: Time,
    notified_at: Option<Time>,
    notice_number: u64,
}

impl ColdSigns {
    /// Records a sign and returns whether it starts an episode.
    fn record_sign(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let starts_episode = match self.signs.get(endpoint) {
            None => true,
            Some(sign) => now.since(sign.last_seen_at) >= EPISODE_GAP,
        };
        self.signs.entry(endpoint.clone()).or_default().last_seen_at = now;
        starts_episode
    }

    /// Issues a notice for peers under the next number, unless the last one about the endpoint is
    /// younger than [`NOTICE_GAP`].
    fn issue_notice(&mut self, now: Time, endpoint: &EndpointName) {
        let sign = self.signs.entry(endpoint.clone()).or_default();
        if sign
            .notified_at
            .is_some_and(|at| now.since(at) < NOTICE_GAP)
        {
            return;
        }
        self.last_notice_number += 1;
        sign.notice_number = self.last_notice_number;
        sign.notified_at = Some(now);
    }

    /// Returns the endpoint and number of each notice that messages still repeat.
    pub fn notices_to_send(&self, now: Time) -> impl Iterator<Item = (&EndpointName, u64)> {
        let recent = move |sign: &ColdSign| {
            sign.notified_at
                .is_some_and(|at| now.since(at) < NOTICE_LIFE)
        };
        let signs = self.signs.iter();
        signs
            .filter(move |(_, sign)| recent(sign))
            .map(|(endpoint, sign)| (endpoint, sign.notice_number))
    }

    /// Returns when the last sign of a cold start of `endpoint` was seen.
    pub fn last_seen_at(&self, endpoint: &EndpointName) -> Option<Time> {
        self.signs.get(endpoint).map(|sign| sign.last_seen_at)
    }

    /// Removes the endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.signs.retain(|endpoint, _| keep(endpoint));
    }
}

impl ControlState {
    /// Records a sign of a cold start and returns whether it starts an episode. If it does, this
    /// VM drops its grant until the allocator issues a new one.
    pub fn record_cold_sign(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let starts_episode = self.cold_signs.record_sign(now, endpoint);
        if starts_episode {
            let config = self.slots_config;
            self.holder.on_cold_sign(now, endpoint, &config);
            self.record_smaller_grant(now, endpoint);
        }
        if self.allocates(now, endpoint) {
            self.allocator.on_cold(now, endpoint);
        }
        starts_episode
    }

    /// Treats endpoints that may get work again under the `next` catalogue like endpoints after a
    /// cold start, so that their load ramps up in steps.
    pub fn ramp_returning_endpoints(&mut self, now: Time, next: &Catalogue) {
        let Some(current) = self.catalogue.clone() else {
            return;
        };
        for endpoint in &next.manifest.endpoints {
            let current_entry = current.endpoint(&endpoint.name);
            let refused_work = current_entry.is_some_and(|entry| !current.accepts_work(entry));
            if refused_work && next.accepts_work(endpoint) {
                self.record_cold_sign(now, &endpoint.name);
            }
        }
    }
}

impl Control {
    /// Handles a sign of a cold start that this VM saw, and notifies all peers. `source` names the
    /// origin of the sign in the log.
    pub fn handle_cold_sign(&self, endpoint: &EndpointName, source: &str) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let is_in_manifest = |catalogue: &Arc<Catalogue>| catalogue.endpoint(endpoint).is_some();
        if !state.catalogue.as_ref().is_some_and(is_in_manifest) {
            return;
        }
        let starts_episode = state.record_cold_sign(now, endpoint);
        let is_allocator = state.allocator_of(now, endpoint).as_ref() == Some(&self.context.vm);
        // Only the allocator needs the later signs of an episode; the next periodic message
        // carries them.
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
