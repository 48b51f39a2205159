//! The holder's side of slots.

use std::collections::{HashMap, VecDeque};

use crate::blackboard::{SlotDemand, SlotGrant};
use crate::decisions::slots::{SlotAnswer, SlotReport, SlotsConfig};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Messages remembered per endpoint. Answers to messages beyond it are not applied, so that
/// a burst of messages needs no more memory.
const REMEMBERED: usize = 64;

/// What traffic counted at one endpoint, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredDemand {
    /// When traffic counted. All that started before is in the count or has ended.
    pub at: Time,
    /// Requests in flight and waiting.
    pub demand: SlotDemand,
}

#[derive(Debug, Default)]
struct HolderState {
    allocator: Option<VmId>,
    incarnation: Option<Incarnation>,
    /// Sequence and send time of messages whose answers may still come.
    sent: VecDeque<(u64, Time)>,
    last_sequence: u64,
    applied: u64,
    /// Grants that answer messages before this sequence are refused.
    accept_from: u64,
    /// What the next reports may state, once traffic has obeyed it when it counted.
    obeyed: VecDeque<Obeyed>,
    /// A grant of a former allocator may be in use until then.
    bridged_until: Time,
    /// The first message that tells the allocator of a cold sign, until it is answered.
    cold_reported_in: Option<u64>,
    cold_unreported: bool,
    ramp: Option<u32>,
    completed: u64,
}

/// A change of grants, and when traffic has surely seen it.
#[derive(Debug, Clone, Copy)]
struct Obeyed {
    at: Time,
    accept_from: u64,
    applied: u64,
}

/// The holder's side: what allocators granted to this VM.
#[derive(Debug, Default)]
pub struct SlotHolder {
    grants: HashMap<EndpointName, SlotGrant>,
    states: HashMap<EndpointName, HolderState>,
}

impl SlotHolder {
    /// Makes the report about an endpoint that goes out now in message `sequence` to
    /// `allocator`.
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
        state.follow(allocator, sequence, usable_until.unwrap_or(Time::ZERO));
        state.forget_lapsed(now.min(measured.at), config);
        if state.sent.len() < REMEMBERED {
            state.sent.push_back((sequence, now));
        }
        let (applied, released_before) = state.obeyed_at(measured.at);
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

    /// Notes an attempt that the endpoint answered whole, for the next report.
    pub fn on_completed(&mut self, endpoint: &EndpointName) {
        self.states.entry(endpoint.clone()).or_default().completed += 1;
    }

    /// Takes the answer to a report, unless it came too late, was overtaken, or comes from a
    /// VM that this one no longer reports to. Returns whether it was applied.
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
        // A second answer to one report may only raise the grant. The allocator counts the
        // highest, so the order in which the two arrive does not matter.
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

    /// Takes a sign of a cold start, seen here or passed on by a peer. Drops the grant,
    /// refuses those that answer earlier messages, and tells the allocator with every report
    /// until one is answered: an allocator that does not know yet would grant warm slots again.
    ///
    /// Returns whether the sign is new. Only a sign that this VM saw itself, and that is
    /// new, is passed to the peers.
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

    /// Gives a grant back because the allocator needs slots for other VMs. What runs goes on and
    /// counts; the answer to the next report grants the part that is left. Returns whether
    /// there was a grant.
    ///
    /// The allocator cannot lower a grant by itself: until a report says that a grant is out of
    /// use, the allocator must count it.
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

    /// Drops grants that lapsed and records of endpoints that are not wanted any more.
    pub fn expire(&mut self, now: Time, wanted: impl Fn(&EndpointName) -> bool) {
        self.grants.retain(|_, grant| now < grant.valid_until);
        let grants = &self.grants;
        self.states
            .retain(|endpoint, _| wanted(endpoint) || grants.contains_key(endpoint));
    }
}

impl HolderState {
    fn follow(&mut self, allocator: &VmId, sequence: u64, usable_until: Time) {
        self.last_sequence = sequence;
        if self.allocator.as_ref() == Some(allocator) {
            return;
        }
        // Sequences count per allocator, so those of the former allocator mean nothing here. Its
        // grant stays usable: the new allocator waits until it has lapsed.
        self.allocator = Some(allocator.clone());
        self.sent.clear();
        // A grant that was dropped may be in use until traffic has seen the change.
        let dropped_until = self.obeyed.back().map_or(Time::ZERO, |entry| entry.at);
        self.obeyed.clear();
        self.applied = 0;
        self.accept_from = sequence;
        self.bridged_until = self.bridged_until.max(usable_until).max(dropped_until);
        self.cold_unreported |= self.cold_reported_in.take().is_some();
    }

    fn accept_only_from(&mut self, now: Time, sequence: u64, config: &SlotsConfig) {
        self.accept_from = self.accept_from.max(sequence);
        if self.obeyed.len() >= REMEMBERED {
            // Stating the change later only keeps slots counted for longer.
            self.obeyed.pop_back();
        }
        self.obeyed.push_back(Obeyed {
            at: now + config.publication_lag,
            accept_from: self.accept_from,
            applied: self.applied,
        });
    }

    fn forget_lapsed(&mut self, now: Time, config: &SlotsConfig) {
        let lapsed = |sent_at: Time| sent_at + config.grant_life <= now;
        while self.sent.front().is_some_and(|entry| lapsed(entry.1)) {
            self.sent.pop_front();
        }
    }

    /// Returns the newest grant applied, and the first message whose grant may have been in
    /// use, at the time when traffic counted.
    fn obeyed_at(&mut self, measured_at: Time) -> (u64, u64) {
        while self.obeyed.len() > 1 && self.obeyed[1].at <= measured_at {
            self.obeyed.pop_front();
        }
        let obeyed = self.obeyed.front().filter(|entry| entry.at <= measured_at);
        let (applied, replaced) = obeyed.map_or((0, 0), |entry| (entry.applied, entry.accept_from));
        if measured_at < self.bridged_until {
            return (applied, 0);
        }
        let unlapsed = self
            .sent
            .front()
            .map_or(self.last_sequence, |entry| entry.0);
        (applied, replaced.max(unlapsed))
    }
}
