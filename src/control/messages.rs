//! State messages: built from the control state for one peer, and handled when a peer sends one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;

use crate::clock;
use crate::control::state::{Control, ControlState, PeerAddresses};
use crate::decisions::placement::FencingNumber;
use crate::peer::message::{
    MessageError, StateMessage, WireAcknowledgement, WireColdNotice, readable,
};
use crate::units::{EndpointName, Incarnation, Time, Version, VmId};

/// Time without a message from a peer after which messages to it carry this VM's address. A peer
/// with an older VM list needs the address to answer.
const ADDRESS_SILENCE: Duration = Duration::from_secs(1);

/// Encodes the highest fencing number of placement. The result is empty before the first order.
fn encode_placement_number(number: FencingNumber) -> Vec<u64> {
    if number == FencingNumber::default() {
        return Vec::new();
    }
    vec![number.list_version.0, number.term, number.sequence]
}

impl Control {
    /// Builds the next message for a peer, and records the message's heartbeat as sent now.
    pub fn message_for(&self, vm: &VmId) -> StateMessage {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let heartbeat = state.membership.heartbeat_for(now, vm);
        let peer = state.peers.entry(vm.clone()).or_default();
        peer.record_sent(heartbeat.sequence, now);
        let answered_message = (peer.sequence, peer.incarnation);
        let addresses = &state.addresses;
        let address_of = |vm: &VmId| addresses.get(vm).map(|item| item.state);
        let acknowledgement = peer.acknowledgement.take();
        // A peer that sent a message recently has this VM's address already.
        let knows_address = peer
            .last_message_at
            .is_some_and(|at| now.since(at) < ADDRESS_SILENCE);
        let confirmed_at = state.versions.confirmed_at();
        let age_us = |at| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
        let mut message = StateMessage {
            sender: self.context.vm.to_string(),
            recipient: vm.to_string(),
            incarnation: heartbeat.incarnation.0,
            sender_address: if knows_address {
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
            placement_number: encode_placement_number(state.placement.highest_number()),
            grants_answer_sequence: answered_message.0,
            grants_answer_incarnation: answered_message.1.map_or(0, |incarnation| incarnation.0),
            ..StateMessage::default()
        };
        state.add_reports(now, vm, &mut message);
        state.add_answers(now, vm, &mut message);
        message.loads = state.loads_for(now, vm);
        let notices = state.cold_signs.notices_to_send(now);
        message.cold_notices = notices
            .map(|(endpoint, number)| WireColdNotice {
                endpoint: endpoint.to_string(),
                number,
            })
            .collect();
        message
    }

    /// Handles a message from a peer. Parts that name an endpoint which this build cannot read are left out.
    ///
    /// # Errors
    ///
    /// Returns why the message is not valid, before anything of it is applied. The caller then closes the connection.
    pub fn handle_message(self: &Rc<Self>, message: &StateMessage) -> Result<(), MessageError> {
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
        state.record_leaving(self, &vm, message.leaving);
        if message.leaving {
            state
                .membership
                .on_resigned(now, &vm, heartbeat.incarnation);
        }
        state.handle_confirmation(&vm, message, self.context.incarnation);
        state.handle_placement_number(&vm, message, self.context.incarnation);
        if let Some(answer) = answer {
            state.record_addresses(message, me);
            state.membership.on_acknowledgement(now, &vm, &answer);
        }
        if let Some(peer) = state.peers.get_mut(&vm) {
            peer.acknowledgement = Some(acknowledgement);
        }
        state.handle_answers(now, &vm, message, self.context.incarnation);
        state.handle_reports(now, &vm, message);
        let newly_cold = state.handle_cold_notices(now, &vm, message);
        let loads = message.loads.iter().map(|wire| wire.load(now));
        for (endpoint, load) in loads.filter_map(readable) {
            if state.manifest_names(&endpoint) {
                state.loads.insert(endpoint, load);
            }
        }
        let wants_manifest = state.wants_from_peer(Version(message.manifest_version));
        let has_self_updates = !state.self_updates.is_empty();
        drop(state);
        for endpoint in newly_cold {
            info!(self.logger(), "slots: {endpoint} is cold"; "source" => vm.as_str());
        }
        if wants_manifest {
            self.start_peer_fetch(&vm);
        }
        self.update_ownership();
        if has_self_updates {
            self.report_to_self();
        }
        self.publish();
        Ok(())
    }
}

impl ControlState {
    /// Records the address, sequence and manifest version in the message, and returns whether it
    /// should be handled. It should not if it is out of date, or if its sender has no known address
    /// and the message has no valid one or the limit of unlisted VMs is reached.
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
        if peer.incarnation != Some(incarnation) {
            peer.restart(incarnation);
        }
        if message.sequence <= peer.sequence {
            return false;
        }
        peer.sequence = message.sequence;
        peer.last_message_at = Some(now);
        let version = Version(message.manifest_version);
        peer.manifest_version = version;
        self.newest_peer_manifest = self.newest_peer_manifest.max(version);
        true
    }

    fn record_leaving(&mut self, control: &Control, vm: &VmId, leaving: bool) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        if std::mem::replace(&mut peer.leaving, leaving) != leaving {
            info!(control.logger(), "membership: planned stop of {vm} changed";
                "leaving" => leaving);
        }
    }

    fn handle_placement_number(&mut self, vm: &VmId, message: &StateMessage, me: Incarnation) {
        let Some(answer) = &message.acknowledgement else {
            return;
        };
        let peer = self.peers.get(vm);
        let asked_at = peer.and_then(|peer| peer.sent_at(answer.sequence));
        let Some(asked_at) = asked_at.filter(|_| answer.to_incarnation == me.0) else {
            return;
        };
        let number = match message.placement_number.as_slice() {
            [list_version, term, sequence] => FencingNumber {
                list_version: Version(*list_version),
                term: *term,
                sequence: *sequence,
            },
            _ => FencingNumber::default(),
        };
        self.placement.on_peer_number(asked_at, vm, number);
    }

    /// Handles the peer's confirmation that its manifest version is fresh. The peer built the
    /// message after it got the heartbeat that the message acknowledges. The age is therefore
    /// counted from that heartbeat, which is safe even if the message stayed unread for a while.
    fn handle_confirmation(&mut self, vm: &VmId, message: &StateMessage, me: Incarnation) {
        let version = Version(message.manifest_version);
        self.versions.on_peer_version(clock::now(), version);
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
            self.versions.confirm(confirmed_at, version);
        }
    }

    fn record_addresses(&mut self, message: &StateMessage, me: &VmId) {
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

    fn handle_cold_notices(
        &mut self,
        now: Time,
        vm: &VmId,
        message: &StateMessage,
    ) -> Vec<EndpointName> {
        let last_handled = self.peers.get(vm).map_or(0, |peer| peer.last_cold_notice);
        let mut highest = last_handled;
        let mut newly_cold = Vec::new();
        for notice in message
            .cold_notices
            .iter()
            .filter(|notice| notice.number > last_handled)
        {
            highest = highest.max(notice.number);
            let Some(endpoint) = readable(notice.endpoint.parse()) else {
                continue;
            };
            if self.manifest_names(&endpoint) && self.record_cold_sign(now, &endpoint) {
                newly_cold.push(endpoint);
            }
        }
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.last_cold_notice = highest;
        }
        newly_cold
    }
}
