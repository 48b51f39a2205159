//! Slots that allocators granted to this VM, and the reports that it sends to them.

use std::collections::{HashMap, VecDeque};

use crate::blackboard::{SlotDemand, SlotGrant};
use crate::decisions::slots::{SlotAnswer, SlotReport, SlotsConfig};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Maximum number of messages, and of grant changes, recorded per endpoint. Answers to further
/// messages are not applied, which bounds the memory that a burst of messages needs.
const MAX_RECORDED: usize = 64;

/// Demand that traffic counted at one endpoint, with the time of the count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredDemand {
    /// When traffic counted. Each request that started earlier is in the count or has ended.
    pub at: Time,
    /// Requests in flight and waiting.
    pub demand: SlotDemand,
}

/// What this VM records about its grants at one endpoint.
#[derive(Debug, Default)]
struct HolderState {
    /// The VM that the last report went to.
    allocator: Option<VmId>,
    incarnation: Option<Incarnation>,
    /// Sequence and send time of messages whose answers may still come.
    sent: VecDeque<(u64, Time)>,
    last_sequence: u64,
    /// Sequence that the newest applied grant answers; zero before the first.
    applied: u64,
    /// Grants that answer messages before this sequence are refused.
    accept_from: u64,
    /// Changes of grants, oldest first. A report may include a change only if traffic saw the
    /// change before it counted the reported demand.
    grant_changes: VecDeque<GrantChange>,
    /// Until this time a grant of a former allocator may be in use.
    former_grant_until: Time,
    /// Sequence of the first message that reported the newest cold sign to the allocator, until
    /// this message or a later one is answered.
    cold_reported_in: Option<u64>,
    /// Whether the next message must report a new cold sign.
    cold_unreported: bool,
    /// Ramp capacity that the newest grant named.
    ramp: Option<u32>,
    /// Running total of attempts with a complete answer.
    completed: u64,
}

/// A change of grants, with the time by which traffic has surely seen it.
#[derive(Debug, Clone, Copy)]
struct GrantChange {
    seen_at: Time,
    accept_from: u64,
    applied: u64,
}

/// The grants of this VM and the state of its reports, by endpoint.
#[derive(Debug, Default)]
pub struct SlotHolder {
    grants: HashMap<EndpointName, SlotGrant>,
    states: HashMap<EndpointName, HolderState>,
}

impl SlotHolder {
    /// Creates the report about an endpoint for the `message` (incarnation and sequence) that is
    /// sent to `allocator` now.
    pub fn report(
        &mut self,
        now: Time,
        allocator: &VmId,
        endpoint: &EndpointName,
        message: (Incarnation, u64),
        measured: MeasuredDemand,
        config: &SlotsConfig,
    ) -> SlotReport {
        let (incarnation, sequence) = message;
        let state = self.states.entry(endpoint.clone()).or_default();
        let usable_until = self.grants.get(endpoint).map(|grant| grant.valid_until);
        state.incarnation = Some(incarnation);
        state.set_allocator(allocator, sequence, usable_until.unwrap_or(Time::ZERO));
        state.drop_lapsed_messages(now.min(measured.at), config);
        if state.sent.len() < MAX_RECORDED {
            state.sent.push_back((sequence, now));
        }
        let (applied, released_before) = state.seen_by_traffic(measured.at);
        if state.cold_unreported {
            state.cold_unreported = false;
            state.cold_reported_in = Some(sequence);
        }
        SlotReport {
            incarnation,
            sequence,
            demand: measured.demand,
            completed: state.completed,
            applied,
            released_before,
            cold: state.cold_reported_in.is_some(),
            ramp: state.ramp,
        }
    }

    /// Counts an attempt that the endpoint answered completely, for the next report.
    pub fn on_completed(&mut self, endpoint: &EndpointName) {
        self.states.entry(endpoint.clone()).or_default().completed += 1;
    }

    /// Applies the answer to a report, unless the answer came too late, a newer one has arrived,
    /// or its sender is no longer the allocator that this VM reports to. Returns whether the
    /// answer was applied.
    pub fn on_answer(
        &mut self,
        now: Time,
        allocator: &VmId,
        endpoint: &EndpointName,
        answer: &SlotAnswer,
        config: &SlotsConfig,
    ) -> bool {
        let Some(state) = self.states.get_mut(endpoint) else {
            return false;
        };
        let is_addressed = state.allocator.as_ref() == Some(allocator)
            && state.incarnation == Some(answer.incarnation);
        if !is_addressed || answer.sequence < state.accept_from {
            return false;
        }
        let mut sent = state.sent.iter();
        let Some((_, asked_at)) = sent.find(|(sequence, _)| *sequence == answer.sequence) else {
            return false;
        };
        let valid_until = *asked_at + config.grant_life;
        let current = self.grants.get(endpoint).map_or(0, |grant| grant.slots);
        // A second answer to the same report may only raise the grant. The allocator counts the
        // larger of the two, so the order in which they arrive does not matter.
        let raises = answer.sequence == state.applied && answer.slots > current;
        if answer.sequence < state.applied || (answer.sequence == state.applied && !raises) {
            return false;
        }
        if now >= valid_until {
            return false;
        }
        state.applied = answer.sequence;
        state.ramp = answer.ramp;
        state.accept_only_from(now, answer.sequence, config);
        if state
            .cold_reported_in
            .is_some_and(|reported| reported <= answer.sequence)
        {
            state.cold_reported_in = None;
        }
        let slots = answer.slots;
        self.grants
            .insert(endpoint.clone(), SlotGrant { slots, valid_until });
        true
    }

    /// Handles a sign of a cold start, seen by this VM or passed on by a peer. Drops the grant,
    /// refuses grants that answer earlier messages, and reports the sign to the allocator in
    /// every message until one is answered: an allocator that has not heard of the sign would
    /// grant warm slots again.
    ///
    /// Returns whether the sign is new. The caller passes a sign to the peers only if it is new
    /// and this VM saw it itself.
    pub fn on_cold_sign(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        config: &SlotsConfig,
    ) -> bool {
        self.grants.remove(endpoint);
        let state = self.states.entry(endpoint.clone()).or_default();
        let is_new = !state.cold_unreported && state.cold_reported_in.is_none();
        state.cold_unreported = true;
        state.accept_only_from(now, state.last_sequence + 1, config);
        is_new
    }

    /// Gives a grant back because the allocator needs slots for other VMs. Running requests
    /// continue and still count; the answer to the next report grants what is left of this VM's
    /// share. Returns whether there was a grant.
    ///
    /// The allocator cannot lower a grant by itself: until a report says that a grant is no
    /// longer used, the allocator must count it.
    pub fn on_recall(&mut self, now: Time, endpoint: &EndpointName, config: &SlotsConfig) -> bool {
        if self.grants.remove(endpoint).is_none() {
            return false;
        }
        let state = self.states.entry(endpoint.clone()).or_default();
        state.accept_only_from(now, state.last_sequence + 1, config);
        true
    }

    /// Returns all grants, for the snapshot.
    pub fn grants(&self) -> &HashMap<EndpointName, SlotGrant> {
        &self.grants
    }

    /// Drops lapsed grants, and the state of endpoints that are no longer wanted and have no
    /// grant.
    pub fn expire(&mut self, now: Time, wanted: impl Fn(&EndpointName) -> bool) {
        self.grants.retain(|_, grant| now < grant.valid_until);
        let grants = &self.grants;
        self.states
            .retain(|endpoint, _| wanted(endpoint) || grants.contains_key(endpoint));
    }
}

impl HolderState {
    /// Records that message `sequence` goes to `allocator`. If the allocator has changed, the
    /// state of the former one is dropped; its grant stays usable until `usable_until`.
    fn set_allocator(&mut self, allocator: &VmId, sequence: u64, usable_until: Time) {
        self.last_sequence = sequence;
        if self.allocator.as_ref() == Some(allocator) {
            return;
        }
        // Sequences are counted per allocator, so those of the former allocator have no meaning
        // for the new one. The former grant stays usable: the new allocator waits until it lapses.
        self.allocator = Some(allocator.clone());
        self.sent.clear();
        // A dropped grant may still be in use until traffic has seen the change.
        let dropped_until = self
            .grant_changes
            .back()
            .map_or(Time::ZERO, |change| change.seen_at);
        self.grant_changes.clear();
        self.applied = 0;
        self.accept_from = sequence;
        self.former_grant_until = self.former_grant_until.max(usable_until).max(dropped_until);
        self.cold_unreported |= self.cold_reported_in.take().is_some();
    }

    /// Refuses grants that answer messages before `sequence`, and records this change for the
    /// reports.
    fn accept_only_from(&mut self, now: Time, sequence: u64, config: &SlotsConfig) {
        self.accept_from = self.accept_from.max(sequence);
        if self.grant_changes.len() >= MAX_RECORDED {
            // Dropping the newest change delays its report, so slots only count for longer.
            self.grant_changes.pop_back();
        }
        self.grant_changes.push_back(GrantChange {
            seen_at: now + config.publication_lag,
            accept_from: self.accept_from,
            applied: self.applied,
        });
    }

    /// Drops messages whose grants would have lapsed by `now`.
    fn drop_lapsed_messages(&mut self, now: Time, config: &SlotsConfig) {
        let lapsed = |sent_at: Time| sent_at + config.grant_life <= now;
        while self.sent.front().is_some_and(|entry| lapsed(entry.1)) {
            self.sent.pop_front();
        }
    }

    /// Returns, as of the time when traffic counted, the sequence that the newest applied grant
    /// answers and that of the first message whose grant may have been in use.
    fn seen_by_traffic(&mut self, measured_at: Time) -> (u64, u64) {
        while self.grant_changes.len() > 1 && self.grant_changes[1].seen_at <= measured_at {
            self.grant_changes.pop_front();
        }
        let seen = self
            .grant_changes
            .front()
            .filter(|change| change.seen_at <= measured_at);
        let (applied, accepted_from) =
            seen.map_or((0, 0), |change| (change.applied, change.accept_from));
        if measured_at < self.former_grant_until {
            return (applied, 0);
        }
        let first_unlapsed = self
            .sent
            .front()
            .map_or(self.last_sequence, |entry| entry.0);
        (applied, accepted_from.max(first_unlapsed))
    }
}
