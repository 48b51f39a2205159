//! Probes of other VMs: direct, through others, and the suspicion that follows silence.

use std::net::Ipv4Addr;

use rand::seq::SliceRandom;

use crate::decisions::gossip::{Gossip, GossipKind, Outgoing, OutgoingList, VmState};
use crate::units::{Time, VmId};

/// Number of a ping whose answer matters only for the record that it carries.
const UNTRACKED_PROBE: u64 = 0;

/// The probe that waits for its answer.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) target: VmId,
    pub(super) ip: Ipv4Addr,
    pub(super) started_at: Time,
    pub(super) is_indirect: bool,
}

/// A probe that this VM makes in place of another.
#[derive(Debug)]
pub(super) struct ProxyProbe {
    pub(super) number: u64,
    pub(super) asker: Ipv4Addr,
    pub(super) asker_probe: u64,
    pub(super) started_at: Time,
}

impl Gossip {
    /// After a suspension of this VM the silence of the others proves nothing.
    pub(super) fn forgive_own_suspension(&mut self, now: Time) {
        let suspended = self
            .last_tick_at
            .is_some_and(|last| now.since(last) > self.config.suspended_after);
        if !suspended {
            return;
        }
        self.probe = None;
        for member in self.members.values_mut() {
            if member.record.state == VmState::Suspect {
                member.changed_at = now;
            }
        }
    }

    pub(super) fn start_probe(&mut self, now: Time, outgoing: &mut OutgoingList) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let ip = member.record.vm.ip;
        let doubted = (member.record.state == VmState::Suspect).then(|| member.record.clone());
        self.probes += 1;
        self.probe = Some(Probe {
            number: self.probes,
            target,
            ip,
            started_at: now,
            is_indirect: false,
        });
        let mut ping = self.message(GossipKind::Ping, self.probes);
        ping.records.extend(doubted);
        outgoing.push(Outgoing {
            to: ip,
            message: ping,
        });
    }

    /// Goes through all VMs in a random order before it repeats one, which bounds the time
    /// until each is probed.
    fn next_target(&mut self) -> Option<VmId> {
        for _ in 0..2 {
            while let Some(candidate) = self.order.pop() {
                let is_probed = self.members.get(&candidate).is_some_and(|member| {
                    matches!(member.record.state, VmState::Alive | VmState::Suspect)
                });
                if is_probed {
                    return Some(candidate);
                }
            }
            self.order = self.members.keys().cloned().collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    pub(super) fn probe_indirectly(&mut self, now: Time, outgoing: &mut OutgoingList) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.is_indirect || now.since(probe.started_at) < self.config.probe_timeout {
            return;
        }
        probe.is_indirect = true;
        let (number, target, ip) = (probe.number, probe.target.clone(), probe.ip);
        let helpers = self.shuffled_live(|member| member.record.vm.name != target);
        for helper in helpers.into_iter().take(self.config.indirect_probes) {
            let message = self.message(GossipKind::PingRequest(ip), number);
            outgoing.push(Outgoing {
                to: helper,
                message,
            });
        }
    }

    /// Suspects the target of the last probe if nobody got an answer.
    pub(super) fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if member.record.state == VmState::Alive {
            let mut record = member.record.clone();
            record.state = VmState::Suspect;
            self.merge(now, &record);
            if let Some(member) = self.members.get_mut(&probe.target) {
                member.is_suspected_here = true;
            }
        }
    }

    /// Tells each VM that a probe from here suspects, every period until it objects: news alone
    /// may reach it only after the suspicion has lapsed.
    pub(super) fn tell_suspects(&self, outgoing: &mut OutgoingList) {
        let suspects = self
            .members
            .values()
            .filter(|member| member.is_suspected_here && member.record.state == VmState::Suspect);
        for suspect in suspects {
            let doubt = vec![suspect.record.clone()];
            let message = self.message_with(GossipKind::Ping, UNTRACKED_PROBE, doubt);
            outgoing.push(Outgoing {
                to: suspect.record.vm.ip,
                message,
            });
        }
    }
}
