//! State messages: built from control state for one peer, and taken from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;

use crate::blackboard::SlotDemand;
use crate::clock;
use crate::control::state::{Control, ControlState, Peer, PeerAddresses};
use crate::peer::message::{
    MessageError, StateMessage, WireAcknowledgement, WireColdMark, WireDemand, WireGrant, WireLoad,
};
use crate::units::{EndpointName, Incarnation, Time, Version, VmId};

/// Silence of a peer after which messages carry the own address, which a peer with an older
/// VM list needs to answer.
const ADDRESS_SILENCE: Duration = Duration::from_secs(1);

impl Control {
    /// Builds the next message for a peer. Its heartbeat counts as sent now.
    pub fn message_for(&self, vm: &VmId) -> StateMessage {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let heartbeat = state.membership.heartbeat_for(now, vm);
        let peer = state.peers.entry(vm.clone()).or_default();
        peer.note_sent(heartbeat.sequence, now);
        let addresses = &state.addresses;
        let address_of = |vm: &VmId| addresses.get(vm).map(|item| item.state);
        let acknowledgement = peer.acknowledgement.take();
        // A peer that answers knows the address already.
        let answers = peer
            .heard_at
            .is_some_and(|at| now.since(at) < ADDRESS_SILENCE);
        let answered = (peer.sequence, peer.incarnation);
        let confirmed_at = state.versions.confirmed_at();
        let age_us = |at| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
        let mut message = StateMessage {
            sender: self.context.vm.to_string(),
            recipient: vm.to_string(),
            incarnation: heartbeat.incarnation.0,
            sender_address: if answers {
                String::new()
            } else {
                self.config.own_state_address.to_string()
            },
            sequence: heartbeat.sequence,
            list_version: heartbeat.list_version.0,
            acknowledgement: acknowledgement.map(|it| WireAcknowledgement::new(&it, address_of)),
            manifest_version: state.versions.newest().0,
            freshness_age_us: confirmed_at.map(age_us),
            leaving: state.stopping,
            ..StateMessage::default()
        };
        message.demands = state.demands_kept_by(now, vm);
        message.grants = state.grants_for(now, vm, self.config.slots.grant_life);
        if let (sequence, Some(incarnation)) = answered
            && !message.grants.is_empty()
        {
            message.grants_answer_sequence = sequence;
            message.grants_answer_incarnation = incarnation.0;
        }
        message.loads = state.loads_for(now, vm);
        let marks = state.cold.marks(now);
        message.cold_marks = marks
            .map(|(endpoint, number)| WireColdMark {
                endpoint: endpoint.to_string(),
                number,
            })
            .collect();
        message
    }

    /// Takes a message of a peer.
    ///
    /// # Errors
    ///
    /// Returns why the message is not usable; the connection is then closed.
    pub fn take_message(self: &Rc<Self>, message: &StateMessage) -> Result<(), MessageError> {
        let vm: VmId = message.sender.parse()?;
        let me = &self.context.vm;
        if message.recipient != me.as_str() || vm == *me {
            return Ok(());
        }
        let answer = message.acknowledgement()?;
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.admit(&vm, message, now, self.config.unlisted_peers_limit) {
            return Ok(());
        }
        let heartbeat = message.heartbeat();
        let acknowledgement = state.membership.on_heartbeat(now, &vm, &heartbeat);
        state.note_leaving(self, &vm, message.leaving);
        state.take_confirmation(&vm, message, self.context.incarnation);
        if let Some(answer) = answer {
            state.learn_addresses(message, me);
            state.membership.on_acknowledgement(now, &vm, &answer);
        }
        if let Some(peer) = state.peers.get_mut(&vm) {
            peer.acknowledgement = Some(acknowledgement);
        }
        state.take_grants(&vm, message, self)?;
        let urgent = state.take_demands(now, &vm, message, me)?;
        let first_cold = state.take_marks(now, &vm, message)?;
        for wire in &message.loads {
            let (endpoint, load) = wire.load(now)?;
            if state.knows(&endpoint) {
                state.loads.insert(endpoint, load);
            }
        }
        let fetch = state.wants_from_peer(Version(message.manifest_version));
        if urgent {
            state.wake(&vm);
        }
        drop(state);
        for endpoint in first_cold {
            info!(self.logger(), "slots: {endpoint} is cold"; "source" => vm.as_str());
        }
        if fetch {
            self.fetch_from_peer(&vm);
        }
        self.note_homes();
        self.publish();
        Ok(())
    }
}

impl ControlState {
    /// Notes the message's sequence. Returns false for a message that is old or comes from
    /// one unlisted VM too many.
    fn admit(
        &mut self,
        vm: &VmId,
        message: &StateMessage,
        now: Time,
        unlisted_limit: usize,
    ) -> bool {
        if !self.addresses.contains_key(vm) {
            let listed = self.vms.vms.len();
            let Ok(state) = message.sender_address.parse::<SocketAddr>() else {
                return false;
            };
            if self.addresses.len() >= listed + unlisted_limit {
                return false;
            }
            let addresses = PeerAddresses { state, call: None };
            self.addresses.insert(vm.clone(), addresses);
        }
        let incarnation = Incarnation(message.incarnation);
        let peer = self.peers.entry(vm.clone()).or_default();
        let mut dropped = Vec::new();
        if peer.incarnation != Some(incarnation) {
            dropped.extend(peer.demands.keys().cloned());
            peer.restart(incarnation);
        }
        if message.sequence <= peer.sequence {
            return false;
        }
        peer.sequence = message.sequence;
        peer.heard_at = Some(now);
        let shown = Version(message.manifest_version);
        peer.manifest_version = shown;
        self.newest_shown = self.newest_shown.max(shown);
        for endpoint in dropped {
            self.note_demand(now, &endpoint, vm, SlotDemand::default());
        }
        true
    }

    fn note_leaving(&mut self, control: &Control, vm: &VmId, leaving: bool) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        if std::mem::replace(&mut peer.leaving, leaving) != leaving {
            info!(control.logger(), "membership: {vm} leaves"; "leaving" => leaving);
        }
    }

    /// Takes the peer's word on freshness. The message was built after the peer got the
    /// heartbeat that it acknowledges; counting the age from that heartbeat is safe even
    /// when the message lay unread for a while.
    fn take_confirmation(&mut self, vm: &VmId, message: &StateMessage, me: Incarnation) {
        let Some(answer) = &message.acknowledgement else {
            return;
        };
        let Some(age_us) = message.freshness_age_us else {
            return;
        };
        let peer = self.peers.get(vm);
        let sent_at = peer.and_then(|peer| peer.sent_at(answer.sequence));
        if let Some(sent_at) = sent_at.filter(|_| answer.to_incarnation == me.0) {
            let confirmed_at = sent_at - Duration::from_micros(age_us);
            let version = Version(message.manifest_version);
            self.versions.confirm(confirmed_at, version);
        }
    }

    fn learn_addresses(&mut self, message: &StateMessage, me: &VmId) {
        let predecessors = message
            .acknowledgement
            .iter()
            .flat_map(|it| &it.predecessors);
        for member in predecessors.flat_map(|list| &list.members) {
            let (Ok(vm), Ok(state)) = (member.vm.parse::<VmId>(), member.state_address.parse())
            else {
                continue;
            };
            if vm != *me {
                let addresses = PeerAddresses { state, call: None };
                self.addresses.entry(vm).or_insert(addresses);
            }
        }
    }

    fn take_grants(
        &mut self,
        vm: &VmId,
        message: &StateMessage,
        control: &Control,
    ) -> Result<(), MessageError> {
        if message.grants_answer_incarnation != control.context.incarnation.0 {
            return Ok(());
        }
        let peer = self.peers.get(vm);
        let Some(asked_at) = peer.and_then(|peer| peer.sent_at(message.grants_answer_sequence))
        else {
            return Ok(());
        };
        for grant in &message.grants {
            let endpoint: EndpointName = grant.endpoint.parse()?;
            if !self.knows(&endpoint) {
                continue;
            }
            let config = control.config.slots;
            self.holder
                .on_grant(asked_at, endpoint, grant.slots, &config);
        }
        Ok(())
    }

    /// Takes demand and completed counts. Returns whether the peer should get an answer at
    /// once, since demand appeared.
    fn take_demands(
        &mut self,
        now: Time,
        vm: &VmId,
        message: &StateMessage,
        me: &VmId,
    ) -> Result<bool, MessageError> {
        let peer = self.peers.entry(vm.clone()).or_default();
        let mut before = std::mem::take(&mut peer.demands);
        let mut after = std::collections::HashMap::new();
        let mut urgent = false;
        for wire in &message.demands {
            let (endpoint, demand) = wire.demand()?;
            if !self.knows(&endpoint) || self.keeper_of(now, &endpoint).as_ref() != Some(me) {
                continue;
            }
            let earlier = before.remove(&endpoint).unwrap_or_default();
            urgent |= demand.waiting > 0 && earlier.waiting == 0;
            urgent |= earlier == SlotDemand::default() && demand != earlier;
            self.note_demand(now, &endpoint, vm, demand);
            self.take_completed_total(now, vm, &endpoint, wire.completed_total);
            after.insert(endpoint, demand);
        }
        for endpoint in before.into_keys() {
            self.note_demand(now, &endpoint, vm, SlotDemand::default());
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.demands = after;
        }
        Ok(urgent)
    }

    fn take_completed_total(&mut self, now: Time, vm: &VmId, endpoint: &EndpointName, total: u64) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        // The first total may count answers that an earlier keeper has already counted.
        let before = peer.completed.insert(endpoint.clone(), total);
        let count = total.saturating_sub(before.unwrap_or(total));
        if count > 0 {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            self.keeper.on_completed(now, endpoint, count);
        }
    }

    fn take_marks(
        &mut self,
        now: Time,
        vm: &VmId,
        message: &StateMessage,
    ) -> Result<Vec<EndpointName>, MessageError> {
        let known = self.peers.get(vm).map_or(0, |peer| peer.cold_number);
        let mut highest = known;
        let mut first = Vec::new();
        for mark in message.cold_marks.iter().filter(|mark| mark.number > known) {
            highest = highest.max(mark.number);
            let endpoint: EndpointName = mark.endpoint.parse()?;
            if self.knows(&endpoint) && self.note_cold(now, &endpoint) {
                first.push(endpoint);
            }
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.cold_number = highest;
        }
        Ok(first)
    }

    fn demands_kept_by(&mut self, now: Time, vm: &VmId) -> Vec<WireDemand> {
        let due = self.demands.iter().filter(|(_, own)| own.is_due(now));
        let due: Vec<_> = due.map(|(name, own)| (name.clone(), *own)).collect();
        let mut wires = Vec::new();
        for (endpoint, own) in due {
            if self.keeper_of(now, &endpoint).as_ref() == Some(vm) {
                wires.push(WireDemand {
                    endpoint: endpoint.to_string(),
                    in_flight: own.demand.in_flight,
                    waiting: own.demand.waiting,
                    completed_total: own.completed_total,
                });
            }
        }
        wires
    }

    /// Returns grants for the endpoints that a peer wants. A peer whose last message is as
    /// old as a grant's life could not use one.
    fn grants_for(&mut self, now: Time, vm: &VmId, grant_life: Duration) -> Vec<WireGrant> {
        let Some(peer) = self.peers.get(vm) else {
            return Vec::new();
        };
        if peer.heard_at.is_none_or(|at| now.since(at) >= grant_life) {
            return Vec::new();
        }
        let wanting =
            |(_, demand): &(&EndpointName, &SlotDemand)| **demand != SlotDemand::default();
        let wanted = peer.demands.iter().filter(wanting);
        let wanted: Vec<EndpointName> = wanted.map(|(endpoint, _)| endpoint.clone()).collect();
        let grants = wanted.into_iter().filter_map(|endpoint| {
            let slots = self.grant_to(now, &endpoint, vm)?;
            Some(WireGrant {
                endpoint: endpoint.to_string(),
                slots,
            })
        });
        grants.collect()
    }

    /// Returns the load reports that a peer asked for by its demand and has not got yet.
    fn loads_for(&mut self, now: Time, vm: &VmId) -> Vec<WireLoad> {
        let Some(Peer {
            demands,
            loads_sent,
            ..
        }) = self.peers.get_mut(vm)
        else {
            return Vec::new();
        };
        let mut wires = Vec::new();
        for endpoint in demands.keys() {
            let Some(load) = self.loads.get(endpoint) else {
                continue;
            };
            let sent = loads_sent.insert(endpoint.clone(), load.read_at);
            if sent != Some(load.read_at) {
                wires.push(WireLoad::new(endpoint, load, now));
            }
        }
        wires
    }
}
