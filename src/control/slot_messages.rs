//! The parts of a state message that concern slots: slot reports, answers to them, recalls of
//! grants, and load reports.

use std::time::Duration;

use crate::blackboard::SlotDemand;
use crate::control::state::ControlState;
use crate::decisions::slots::SlotUpdate;
use crate::peer::message::{StateMessage, WireDemand, WireGrant, WireLoad, readable};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Time for which a peer gets the load reports of an endpoint after it last used the endpoint.
const LOAD_INTEREST_LIFE: Duration = Duration::from_secs(2);

impl ControlState {
    /// Adds the slot reports on the endpoints whose allocator is the recipient `vm`.
    pub fn add_reports(&mut self, now: Time, vm: &VmId, message: &mut StateMessage) {
        let numbers = (Incarnation(message.incarnation), message.sequence);
        for (endpoint, report) in self.reports_for(now, vm, numbers) {
            message.demands.push(WireDemand::new(&endpoint, &report));
        }
    }

    /// Adds the answers to slot reports of the recipient `vm` and the recalls of its grants.
    /// Nothing is added if the recipient's last message is as old as the life of a grant, since it
    /// could not use a grant then.
    pub fn add_answers(&mut self, now: Time, vm: &VmId, message: &mut StateMessage) {
        let grant_life = self.slots_config.grant_life;
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        if peer
            .last_message_at
            .is_none_or(|at| now.since(at) >= grant_life)
        {
            return;
        }
        let updates = std::mem::take(&mut peer.pending_updates);
        let reported: Vec<EndpointName> = peer.reported_endpoints.keys().cloned().collect();
        for endpoint in reported {
            match updates.get(&endpoint) {
                Some(SlotUpdate::Recall) => {
                    message.recalls.push(endpoint.to_string());
                    continue;
                }
                Some(SlotUpdate::Answer) => {}
                None if self.allocator.is_unanswered(&endpoint, vm) => {}
                None => continue,
            }
            if let Some(answer) = self.answer_report(now, &endpoint, vm) {
                let sequence = message.grants_answer_sequence;
                let wire = WireGrant::new(&endpoint, &answer, sequence);
                message.grants.push(wire);
            }
        }
    }

    /// Handles the answers and recalls from an allocator, unless they are for an earlier
    /// incarnation of this VM.
    pub fn handle_answers(
        &mut self,
        now: Time,
        vm: &VmId,
        message: &StateMessage,
        me: Incarnation,
    ) {
        if message.grants_answer_incarnation != me.0 {
            return;
        }
        let answers = message.grants.iter().map(|wire| wire.answer(message));
        for (endpoint, answer) in answers.filter_map(readable) {
            self.handle_answer(now, vm, &endpoint, &answer);
        }
        let recalls = message.recalls.iter().map(|endpoint| endpoint.parse());
        for endpoint in recalls.filter_map(readable) {
            self.handle_recall(now, vm, &endpoint);
        }
    }

    /// Handles the slot reports of `vm`, with their totals of completed attempts, as the allocator.
    pub fn handle_reports(&mut self, now: Time, vm: &VmId, message: &StateMessage) {
        let reports = message.demands.iter().map(|wire| wire.report(message));
        for (endpoint, report) in reports.filter_map(readable) {
            if !self.allocates(now, &endpoint) {
                continue;
            }
            self.allocator.on_report(now, &endpoint, vm, &report);
            if let Some(peer) = self.peers.get_mut(vm) {
                let before = peer.completed.insert(endpoint.clone(), report.completed);
                let completed = before.is_some_and(|before| before != report.completed);
                let used_at = peer.reported_endpoints.entry(endpoint.clone()).or_default();
                if completed || report.demand != SlotDemand::default() {
                    *used_at = Some(now);
                }
            }
            self.send_due_updates(now, &endpoint);
        }
    }

    /// Returns the load reports of the endpoints that a peer uses, except those sent to it before.
    pub fn loads_for(&mut self, now: Time, vm: &VmId) -> Vec<WireLoad> {
        let Some(peer) = self.peers.get_mut(vm) else {
            return Vec::new();
        };
        let recent =
            |used_at: &Option<Time>| used_at.is_some_and(|at| now.since(at) < LOAD_INTEREST_LIFE);
        let used = peer
            .reported_endpoints
            .iter()
            .filter(|(_, used_at)| recent(used_at));
        let mut wire_loads = Vec::new();
        for (endpoint, _) in used {
            let Some(load) = self.loads.get(endpoint) else {
                continue;
            };
            let last_sent = peer.loads_sent.insert(endpoint.clone(), load.read_at);
            if last_sent != Some(load.read_at) {
                wire_loads.push(WireLoad::new(endpoint, load, now));
            }
        }
        wire_loads
    }
}
