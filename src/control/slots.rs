//! Demand and grants of slots: connects the slot decisions to traffic, state messages and the log.
//!
//! A VM reports its demand to the allocator of each endpoint that it may use, and the allocator
//! answers with a grant. State messages carry both. When a VM is the allocator itself, reports and
//! answers are passed by function calls.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use slog::info;

use crate::blackboard::{Catalogue, SlotDemand};
use crate::clock;
use crate::control::state::{Control, ControlState};
use crate::decisions::membership::OwnershipEpoch;
use crate::decisions::ownership_keys::endpoint_key;
use crate::decisions::slots::{MeasuredDemand, SlotAnswer, SlotLimits, SlotReport, SlotUpdate};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Time for which a total of completed attempts keeps the endpoint's reports going after the total
/// last changed.
const COMPLETED_TOTAL_LIFE: Duration = Duration::from_secs(1);
/// Minimum interval between reports on an endpoint that this VM has a grant for but does not use.
/// Its standing share expires after the life of a grant, and one lost message must not make it
/// expire.
const IDLE_REPORT_GAP: Duration = Duration::from_millis(550);
/// Maximum number of publications whose times are stored separately. Later ones are merged into
/// the last of these.
const MAX_PUBLICATIONS: usize = 64;

/// Demand of this VM's traffic for one endpoint, and when it was reported.
#[derive(Debug, Default, Clone, Copy)]
pub struct LocalDemand {
    /// Numbers of attempts that are in flight and of those that wait for a slot.
    pub demand: SlotDemand,
    /// Number of attempts that the endpoint answered completely since the daemon started.
    pub completed_total: u64,
    /// Time at which `completed_total` last changed.
    pub completed_at: Time,
    /// Time at which a report was last built for the endpoint's allocator.
    pub reported_at: Option<Time>,
    /// Time at which the grant shrank. It is cleared once a count of demand was taken after traffic
    /// could see the smaller grant.
    pub shrank_at: Option<Time>,
}

impl LocalDemand {
    fn is_in_use(&self, now: Time) -> bool {
        self.demand != SlotDemand::default()
            || (self.completed_total > 0 && now.since(self.completed_at) < COMPLETED_TOTAL_LIFE)
    }

    fn is_idle_report_due(&self, now: Time) -> bool {
        let recent = |at| now.since(at) < IDLE_REPORT_GAP;
        !self.reported_at.is_some_and(recent)
    }
}

/// Times at which changes of grants were made and became visible to traffic.
///
/// A traffic count taken between a change and its publication doesn't reflect the change, however
/// long the publication took.
#[derive(Debug, Default)]
pub struct PublicationTimes {
    /// Time of the first change that is not published yet.
    changed_at: Option<Time>,
    /// For each publication, the time of its first change and the time of the publication.
    published: VecDeque<(Time, Time)>,
}

impl PublicationTimes {
    /// Records a change of grants.
    pub fn on_change(&mut self, now: Time) {
        self.changed_at.get_or_insert(now);
    }

    /// Records that all changes so far are published.
    pub fn on_published(&mut self, now: Time) {
        let Some(changed_at) = self.changed_at.take() else {
            return;
        };
        if self.published.len() >= MAX_PUBLICATIONS
            && let Some(last) = self.published.back_mut()
        {
            last.1 = now;
            return;
        }
        self.published.push_back((changed_at, now));
    }

    /// Returns the time up to which a traffic count taken at `at` reflects all changes of grants.
    /// Counts must be passed in the order of their times.
    fn complete_as_of(&mut self, at: Time) -> Time {
        while self.published.front().is_some_and(|times| times.1 < at) {
            self.published.pop_front();
        }
        self.published.front().map_or(at, |times| at.min(times.0))
    }
}

impl ControlState {
    /// Returns whether the manifest in force names an endpoint. Data from peers on any other
    /// endpoint is ignored, so that the manifest bounds the size of all tables.
    pub fn manifest_names(&self, endpoint: &EndpointName) -> bool {
        let catalogue = self.catalogue.as_ref();
        catalogue.is_some_and(|catalogue| catalogue.endpoint(endpoint).is_some())
    }

    /// Returns whether the manifest in force names an endpoint at an address.
    pub fn is_at(&self, endpoint: &EndpointName, address: SocketAddr) -> bool {
        let catalogue = self.catalogue.as_ref();
        let entry = catalogue.and_then(|catalogue| catalogue.endpoint(endpoint));
        entry.is_some_and(|entry| entry.address == address)
    }

    /// Returns the allocator of an endpoint, which divides its slots among the VMs.
    pub fn allocator_of(&mut self, now: Time, endpoint: &EndpointName) -> Option<VmId> {
        if let Some(vm) = self.allocator_cache.get(endpoint) {
            return Some(vm.clone());
        }
        let vm = self.membership.owner_of(now, &endpoint_key(endpoint))?;
        self.allocator_cache.insert(endpoint.clone(), vm.clone());
        Some(vm)
    }

    /// Returns whether this VM is the allocator of an endpoint.
    pub fn allocates(&mut self, now: Time, endpoint: &EndpointName) -> bool {
        self.allocator_of(now, endpoint).as_ref() == Some(&self.me)
    }

    /// Groups the endpoints by allocator. Drops the allocator state of endpoints that this VM no
    /// longer allocates, and makes a report on every endpoint due.
    pub fn install_allocators(&mut self, now: Time) {
        self.endpoints_by_allocator.clear();
        let Some(catalogue) = self.catalogue.clone() else {
            return;
        };
        for endpoint in &catalogue.manifest.endpoints {
            if let Some(vm) = self.allocator_of(now, &endpoint.name) {
                let allocated = self.endpoints_by_allocator.entry(vm).or_default();
                allocated.push(endpoint.name.clone());
            }
        }
        let allocated = self.endpoints_by_allocator.get(&self.me);
        self.allocator
            .retain(|endpoint| allocated.is_some_and(|allocated| allocated.contains(endpoint)));
        for local in self.demands.values_mut() {
            local.reported_at = None;
        }
    }

    /// Returns the reports for an allocator in the message that is sent now. They cover each
    /// endpoint that this VM may use, so that it has a share before its first request. `message` is
    /// the incarnation and sequence of that message.
    pub fn reports_for(
        &mut self,
        now: Time,
        allocator: &VmId,
        message: (Incarnation, u64),
    ) -> Vec<(EndpointName, SlotReport)> {
        let Some(catalogue) = self.catalogue.clone() else {
            return Vec::new();
        };
        let endpoints = self
            .endpoints_by_allocator
            .get(allocator)
            .cloned()
            .unwrap_or_default();
        let mut reports = Vec::new();
        for endpoint in endpoints {
            let local = self.demands.entry(endpoint.clone()).or_default();
            let accepts = |entry| catalogue.accepts_work(entry);
            let may_use = catalogue.endpoint(&endpoint).is_some_and(accepts);
            let current_grant = self.holder.grants().get(&endpoint);
            let is_idle =
                current_grant.is_some_and(|grant| grant.slots > 0) && !local.is_in_use(now);
            if (!may_use && !local.is_in_use(now)) || (is_idle && !local.is_idle_report_due(now)) {
                continue;
            }
            local.reported_at = Some(now);
            let measured = MeasuredDemand {
                at: self.demands_counted_at,
                demand: local.demand,
            };
            let config = self.slots_config;
            let report = self
                .holder
                .report(now, allocator, &endpoint, message, measured, &config);
            reports.push((endpoint, report));
        }
        reports
    }

    /// Handles an allocator's answer to a report of this VM.
    pub fn handle_answer(
        &mut self,
        now: Time,
        allocator: &VmId,
        endpoint: &EndpointName,
        answer: &SlotAnswer,
    ) {
        let granted_slots = |state: &Self| state.holder.grants().get(endpoint).map(|it| it.slots);
        let slots_before = granted_slots(self);
        let config = self.slots_config;
        if !self
            .holder
            .on_answer(now, allocator, endpoint, answer, &config)
        {
            return;
        }
        self.publication_times.on_change(now);
        if granted_slots(self) < slots_before {
            self.record_smaller_grant(now, endpoint);
        }
    }

    /// Returns a grant to the allocator that recalls it.
    pub fn handle_recall(&mut self, now: Time, allocator: &VmId, endpoint: &EndpointName) {
        let config = self.slots_config;
        let is_allocator = self.allocator_of(now, endpoint).as_ref() == Some(allocator);
        if is_allocator && self.holder.on_recall(now, endpoint, &config) {
            self.record_smaller_grant(now, endpoint);
        }
    }

    /// Records that traffic must use fewer slots. As soon as a count of demand reflects that, a
    /// report is sent to the allocator.
    pub fn record_smaller_grant(&mut self, now: Time, endpoint: &EndpointName) {
        self.publication_times.on_change(now);
        let local = self.demands.entry(endpoint.clone()).or_default();
        local.shrank_at = Some(now);
    }

    /// Returns the numbers of slots that this VM as allocator may grant, and the ownership epoch in
    /// which it may. Returns `None` if this VM is not the allocator or has no ownership epoch, or
    /// if the endpoint may get no new work.
    fn allocation_limits(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
    ) -> Option<(SlotLimits, OwnershipEpoch)> {
        let catalogue = self.catalogue.clone()?;
        let entry = catalogue.endpoint(endpoint)?;
        if !catalogue.accepts_work(entry) || !self.allocates(now, endpoint) {
            return None;
        }
        let limits = SlotLimits {
            warm: entry.slots,
            cold: entry.cold_slots,
        };
        let epoch = self
            .membership
            .ownership_epoch(now, &endpoint_key(endpoint))?;
        Some((limits, epoch))
    }

    /// Returns the answer to the newest report of `vm`, as the allocator.
    pub fn answer_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
    ) -> Option<SlotAnswer> {
        let (limits, epoch) = self.allocation_limits(now, endpoint)?;
        self.allocator.answer(now, endpoint, vm, limits, epoch)
    }

    /// Sends the due updates of an endpoint at once: to holders whose slots another VM needs, and
    /// to VMs for which slots came free.
    pub fn send_due_updates(&mut self, now: Time, endpoint: &EndpointName) {
        let Some((limits, epoch)) = self.allocation_limits(now, endpoint) else {
            return;
        };
        for (vm, update) in self.allocator.updates_due(now, endpoint, limits, epoch) {
            if vm == self.me {
                self.self_updates.insert(endpoint.clone(), update);
            } else if let Some(peer) = self.peers.get_mut(&vm) {
                peer.pending_updates.insert(endpoint.clone(), update);
                peer.wake.notify_one();
            }
        }
    }

    /// Passes this VM's reports to its own allocator, and handles the answers.
    fn report_to_self(&mut self, now: Time, incarnation: Incarnation) {
        let me = self.me.clone();
        self.self_report_sequence += 1;
        let reports = self.reports_for(now, &me, (incarnation, self.self_report_sequence));
        for (endpoint, report) in reports {
            self.allocator.on_report(now, &endpoint, &me, &report);
            self.send_due_updates(now, &endpoint);
            if let Some(answer) = self.answer_report(now, &endpoint, &me) {
                self.handle_answer(now, &me, &endpoint, &answer);
            }
        }
        for (endpoint, update) in std::mem::take(&mut self.self_updates) {
            if update == SlotUpdate::Recall {
                self.handle_recall(now, &me, &endpoint);
            } else if let Some(answer) = self.answer_report(now, &endpoint, &me) {
                self.handle_answer(now, &me, &endpoint, &answer);
            }
        }
    }

    /// Drops all state of endpoints that the `next` catalogue no longer names, and the loads of those that it moves.
    pub fn forget_endpoints(&mut self, next: &Catalogue) {
        let keep = |endpoint: &EndpointName| next.endpoint(endpoint).is_some();
        let former = self.catalogue.clone();
        let stays = |endpoint: &EndpointName| {
            let address_in = |catalogue: &Catalogue| Some(catalogue.endpoint(endpoint)?.address);
            former.as_deref().and_then(address_in) == address_in(next)
        };
        self.loads
            .retain(|endpoint, _| keep(endpoint) && stays(endpoint));
        self.demands.retain(|endpoint, _| keep(endpoint));
        self.allocator_cache.retain(|endpoint, _| keep(endpoint));
        self.logged_slots.retain(|endpoint, _| keep(endpoint));
        self.cold_signs.retain(keep);
        for peer in self.peers.values_mut() {
            peer.reported_endpoints.retain(|endpoint, _| keep(endpoint));
            peer.completed.retain(|endpoint, _| keep(endpoint));
            peer.loads_sent.retain(|endpoint, _| keep(endpoint));
        }
    }

    /// Stores the demand that traffic counted at `at`, and returns the endpoints whose allocator
    /// needs a report at once.
    fn handle_counts(
        &mut self,
        at: Time,
        by_endpoint: &HashMap<EndpointName, SlotDemand>,
    ) -> Vec<EndpointName> {
        self.demands_counted_at = self.publication_times.complete_as_of(at);
        for endpoint in by_endpoint.keys() {
            self.demands.entry(endpoint.clone()).or_default();
        }
        let shrunk_before = self.demands_counted_at - self.slots_config.publication_lag;
        let mut urgent = Vec::new();
        for (endpoint, local) in &mut self.demands {
            let demand = by_endpoint.get(endpoint).copied().unwrap_or_default();
            let before = std::mem::replace(&mut local.demand, demand);
            let granted = self.holder.grants().get(endpoint).map(|grant| grant.slots);
            let waiting_doubled = demand.waiting > before.waiting.saturating_mul(2);
            // A slot above this VM's grant came free. Another VM can use it.
            let frees_slot =
                demand.in_flight < before.in_flight && before.in_flight > granted.unwrap_or(0);
            let shrink_confirmed = local.shrank_at.is_some_and(|since| since <= shrunk_before);
            if shrink_confirmed {
                local.shrank_at = None;
            }
            if waiting_doubled || frees_slot || shrink_confirmed {
                urgent.push(endpoint.clone());
            }
        }
        urgent
    }
}

impl Control {
    /// Handles the complete demand of this VM's traffic, counted at `at`. There is no demand for
    /// endpoints that it does not name.
    pub fn handle_demand(&self, at: Time, by_endpoint: &HashMap<EndpointName, SlotDemand>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.catalogue.is_none() {
            return;
        }
        let mut allocates_urgent = false;
        for endpoint in state.handle_counts(at, by_endpoint) {
            match state.allocator_of(now, &endpoint) {
                Some(vm) if vm == self.context.vm => allocates_urgent = true,
                Some(vm) => state.wake(&vm),
                None => {}
            }
        }
        drop(state);
        if allocates_urgent {
            self.report_to_self();
        }
    }

    /// Counts an attempt that an endpoint answered completely and without a sign of a cold start.
    pub fn handle_completed(&self, endpoint: &EndpointName, started_at: Time) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.manifest_names(endpoint) {
            return;
        }
        // An attempt that started before the last cold sign doesn't show that the endpoint is warm
        // again.
        if state
            .cold_signs
            .last_seen_at(endpoint)
            .is_some_and(|at| started_at <= at)
        {
            return;
        }
        let local = state.demands.entry(endpoint.clone()).or_default();
        local.completed_total += 1;
        local.completed_at = now;
        state.holder.on_completed(endpoint);
    }

    /// Passes this VM's reports to its own allocator, and publishes the grants in the answers.
    pub fn report_to_self(&self) {
        let now = clock::now();
        let incarnation = self.context.incarnation;
        self.state.borrow_mut().report_to_self(now, incarnation);
        self.publish();
    }

    /// Drops grants to this VM that expired, and sends the due updates of the endpoints of which
    /// this VM is the allocator.
    pub fn update_slots(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(catalogue) = state.catalogue.clone() {
            let accepts = |entry| catalogue.accepts_work(entry);
            let wanted = |endpoint: &_| catalogue.endpoint(endpoint).is_some_and(accepts);
            state.holder.expire(now, wanted);
        }
        let allocated = state
            .endpoints_by_allocator
            .get(&state.me)
            .cloned()
            .unwrap_or_default();
        for endpoint in allocated {
            state.send_due_updates(now, &endpoint);
        }
    }

    /// Logs grants whose number of slots changed.
    pub fn log_grants(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for endpoint in state.demands.keys() {
            let grant = state.holder.grants().get(endpoint);
            let grant = grant.filter(|grant| now < grant.valid_until);
            let slots = grant.map_or(0, |grant| grant.slots);
            let logged = state.logged_slots.get(endpoint).copied().unwrap_or(0);
            if slots != logged {
                info!(self.logger(), "slots: this VM has a grant of {slots} slots of {endpoint}";
                    "before" => logged);
                state.logged_slots.insert(endpoint.clone(), slots);
            }
        }
    }
}
