//! Demand, grants and cold marks: carries out what the slot decisions say.

use std::collections::HashMap;
use std::time::Duration;

use slog::info;

use crate::blackboard::{Catalogue, SlotDemand};
use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::decisions::home_keys::endpoint_key;
use crate::decisions::slots::SlotLimits;
use crate::units::{EndpointName, Time, VmId};

/// Signs of one cold start closer together than this are one episode: holders drop their
/// grants at its first sign only, since later grants count the cold capacity already.
const EPISODE_GAP: Duration = Duration::from_secs(1);
/// Least time between marks for one endpoint to peers.
const MARK_GAP: Duration = Duration::from_millis(200);
/// How long a mark is repeated, so that a lost message loses none.
const MARK_LIFE: Duration = Duration::from_secs(1);
/// How long a running total is sent after its last change.
const COMPLETED_LIFE: Duration = Duration::from_secs(1);

/// What traffic on this VM wants of one endpoint.
#[derive(Debug, Default, Clone, Copy)]
pub struct OwnDemand {
    /// In flight and waiting.
    pub demand: SlotDemand,
    /// Attempts answered whole since the daemon started.
    pub completed_total: u64,
    /// When the total last changed.
    pub completed_at: Time,
}

impl OwnDemand {
    /// Returns whether the endpoint's keeper must hear of it.
    pub fn is_due(&self, now: Time) -> bool {
        self.demand != SlotDemand::default()
            || (self.completed_total > 0 && now.since(self.completed_at) < COMPLETED_LIFE)
    }
}

/// Signs of cold starts, own and of peers.
#[derive(Debug, Default)]
pub struct ColdSigns {
    signs: HashMap<EndpointName, ColdSign>,
    last_number: u64,
}

#[derive(Debug, Default, Clone, Copy)]
struct ColdSign {
    seen_at: Time,
    marked_at: Option<Time>,
    number: u64,
}

impl ColdSigns {
    /// Notes a sign and returns whether it begins an episode.
    fn see(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let first = match self.signs.get(endpoint) {
            None => true,
            Some(sign) => now.since(sign.seen_at) >= EPISODE_GAP,
        };
        self.signs.entry(endpoint.clone()).or_default().seen_at = now;
        first
    }

    /// Numbers a new mark for peers, unless the last one is too recent.
    fn mark(&mut self, now: Time, endpoint: &EndpointName) {
        let sign = self.signs.entry(endpoint.clone()).or_default();
        if sign.marked_at.is_some_and(|at| now.since(at) < MARK_GAP) {
            return;
        }
        self.last_number += 1;
        sign.number = self.last_number;
        sign.marked_at = Some(now);
    }

    /// Returns the marks to send now.
    pub fn marks(&self, now: Time) -> impl Iterator<Item = (&EndpointName, u64)> {
        let recent =
            move |sign: &ColdSign| sign.marked_at.is_some_and(|at| now.since(at) < MARK_LIFE);
        let signs = self.signs.iter();
        signs
            .filter(move |(_, sign)| recent(sign))
            .map(|(endpoint, sign)| (endpoint, sign.number))
    }

    fn retain(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.signs.retain(|endpoint, _| keep(endpoint));
    }
}

impl ControlState {
    /// Returns whether the manifest in force names an endpoint. What peers say of others is
    /// ignored, which bounds all tables by the manifest.
    pub fn knows(&self, endpoint: &EndpointName) -> bool {
        let catalogue = self.catalogue.as_ref();
        catalogue.is_some_and(|catalogue| catalogue.endpoint(endpoint).is_some())
    }

    /// Returns the VM that keeps an endpoint.
    pub fn keeper_of(&mut self, now: Time, endpoint: &EndpointName) -> Option<VmId> {
        if let Some(vm) = self.keepers.get(endpoint) {
            return Some(vm.clone());
        }
        let vm = self.membership.home_of(now, &endpoint_key(endpoint))?;
        self.keepers.insert(endpoint.clone(), vm.clone());
        Some(vm)
    }

    /// Notes what a VM wants of an endpoint. It counts only while this VM is the keeper.
    pub fn note_demand(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
        demand: SlotDemand,
    ) {
        self.keeper.on_demand(now, endpoint, vm, demand);
    }

    /// Returns the slots that this VM as keeper grants to `vm`. Without a tenure, or when the
    /// endpoint may get no new work, it grants nothing.
    pub fn grant_to(&mut self, now: Time, endpoint: &EndpointName, vm: &VmId) -> Option<u32> {
        let catalogue = self.catalogue.clone()?;
        let entry = catalogue.endpoint(endpoint)?;
        if !catalogue.accepts_work(entry) {
            return None;
        }
        let limits = SlotLimits {
            warm: entry.slots,
            cold: entry.cold_slots,
        };
        let tenure = self.membership.tenure(now, &endpoint_key(endpoint))?;
        Some(self.keeper.grant(now, endpoint, vm, limits, tenure))
    }

    /// Notes a sign of a cold start and returns whether it begins an episode. The own grant
    /// is dropped then, until the keeper gives a new one.
    pub fn note_cold(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        let first = self.cold.see(now, endpoint);
        if first {
            self.holder.on_cold(endpoint);
        }
        self.keeper.on_cold(now, endpoint);
        first
    }

    /// Treats endpoints that may get work again as after a cold start, so that load returns
    /// to them step by step.
    pub fn ramp_returned(&mut self, now: Time, next: &Catalogue) {
        let Some(current) = self.catalogue.clone() else {
            return;
        };
        for endpoint in &next.manifest.endpoints {
            let before = current.endpoint(&endpoint.name);
            let was_out = before.is_some_and(|before| !current.accepts_work(before));
            if was_out && next.accepts_work(endpoint) {
                self.note_cold(now, &endpoint.name);
            }
        }
    }

    /// Forgets endpoints that a new manifest no longer names.
    pub fn forget_endpoints(&mut self, next: &Catalogue) {
        let keep = |endpoint: &EndpointName| next.endpoint(endpoint).is_some();
        self.demands.retain(|endpoint, _| keep(endpoint));
        self.loads.retain(|endpoint, _| keep(endpoint));
        self.keepers.retain(|endpoint, _| keep(endpoint));
        self.logged_slots.retain(|endpoint, _| keep(endpoint));
        self.cold.retain(keep);
        for peer in self.peers.values_mut() {
            peer.completed.retain(|endpoint, _| keep(endpoint));
            peer.loads_sent.retain(|endpoint, _| keep(endpoint));
        }
    }
}

impl Control {
    /// Takes the whole demand of traffic on this VM. Endpoints that it does not name have
    /// none.
    pub fn take_demand(&self, by_endpoint: &HashMap<EndpointName, SlotDemand>) {
        let now = clock::now();
        let mut urgent = Vec::new();
        let mut state = self.state.borrow_mut();
        let Some(catalogue) = state.catalogue.clone() else {
            return;
        };
        for (endpoint, own) in &mut state.demands {
            if !by_endpoint.contains_key(endpoint) {
                own.demand = SlotDemand::default();
            }
        }
        for (endpoint, demand) in by_endpoint {
            if catalogue.endpoint(endpoint).is_none() {
                continue;
            }
            let own = state.demands.entry(endpoint.clone()).or_default();
            let before = std::mem::replace(&mut own.demand, *demand);
            let idle = before == SlotDemand::default();
            if (idle && *demand != before) || (before.waiting == 0 && demand.waiting > 0) {
                urgent.push(endpoint.clone());
            }
        }
        let mut granted = false;
        for endpoint in urgent {
            match state.keeper_of(now, &endpoint) {
                Some(vm) if vm == self.context.vm => granted = true,
                Some(vm) => state.wake(&vm),
                None => {}
            }
        }
        drop(state);
        if granted {
            self.grant_to_self();
            self.publish();
        }
    }

    /// Takes an attempt that an endpoint answered whole.
    pub fn take_completed(&self, endpoint: &EndpointName) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.knows(endpoint) {
            return;
        }
        let own = state.demands.entry(endpoint.clone()).or_default();
        own.completed_total += 1;
        own.completed_at = now;
        if state.keeper_of(now, endpoint).as_ref() == Some(&self.context.vm) {
            state.keeper.on_completed(now, endpoint, 1);
        }
    }

    /// Takes a sign of a cold start that this VM saw and marks it for all peers.
    pub fn take_cold(&self, endpoint: &EndpointName, source: &str) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.knows(endpoint) {
            return;
        }
        let first = state.note_cold(now, endpoint);
        let kept_here = state.keeper_of(now, endpoint).as_ref() == Some(&self.context.vm);
        // Later signs concern the keeper only; the next periodic message takes them there.
        if first || !kept_here {
            state.cold.mark(now, endpoint);
        }
        drop(state);
        if first {
            info!(self.logger(), "slots: {endpoint} is cold"; "source" => source);
            self.publish();
            self.wake_peers();
        }
    }

    /// Grants slots at the endpoints that this VM keeps to its own traffic.
    pub fn grant_to_self(&self) {
        let now = clock::now();
        let me = &self.context.vm;
        let mut state = self.state.borrow_mut();
        let wanted: Vec<(EndpointName, SlotDemand)> = state
            .demands
            .iter()
            .map(|(endpoint, own)| (endpoint.clone(), own.demand))
            .collect();
        for (endpoint, demand) in wanted {
            if state.keeper_of(now, &endpoint).as_ref() != Some(me) {
                continue;
            }
            state.note_demand(now, &endpoint, me, demand);
            if demand == SlotDemand::default() {
                continue;
            }
            if let Some(slots) = state.grant_to(now, &endpoint, me) {
                let config = self.config.slots;
                state.holder.on_grant(now, endpoint, slots, &config);
            }
        }
    }

    /// Logs grants whose number of slots changed.
    pub fn log_grants(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (endpoint, grant) in state.holder.grants() {
            let slots = if now < grant.valid_until {
                grant.slots
            } else {
                0
            };
            let logged = state.logged_slots.get(endpoint).copied().unwrap_or(0);
            if slots != logged {
                info!(self.logger(), "slots: {endpoint} grants {slots} to this VM";
                    "before" => logged);
                state.logged_slots.insert(endpoint.clone(), slots);
            }
        }
    }
}
