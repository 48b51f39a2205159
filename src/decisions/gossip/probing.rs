//! Direct and indirect probes of other VMs, and suspicion of VMs that do not answer.

use std::net::Ipv4Addr;

use rand::seq::SliceRandom;
use smallvec::SmallVec;

use crate::decisions::gossip::{Gossip, GossipKind, Outgoing, OutgoingList, VmState};
use crate::units::{Time, VmId};

/// Number that no probe has, for pings that only notify a suspect. Their acknowledgement is needed
/// only for the suspect's own record, which refutes the suspicion.
const UNTRACKED_PROBE: u64 = 0;

/// A probe by this VM that waits for its acknowledgement.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) target: VmId,
    pub(super) ip: Ipv4Addr,
    pub(super) started_at: Time,
    /// Whether other VMs were already asked to probe the target.
    pub(super) is_indirect: bool,
}

/// A probe that this VM sends in place of the VM that requested it.
#[derive(Debug)]
pub(super) struct ProxyProbe {
    pub(super) number: u64,
    pub(super) requester: Ipv4Addr,
    pub(super) requester_probe: u64,
    pub(super) started_at: Time,
}

impl Gossip {
    /// Drops the running probe and restarts suspicion timeouts if this VM itself was suspended:
    /// missing answers then say nothing about the other VMs.
    pub(super) fn reset_suspicions_after_suspension(&mut self, now: Time) {
        let was_suspended = self
            .last_tick_at
            .is_some_and(|last| now.since(last) > self.config.suspended_after);
        if !was_suspended {
            return;
        }
        self.probes.clear();
        for member in self.members.values_mut() {
            if member.record.state == VmState::Suspect {
                member.changed_at = now;
            }
        }
    }

    /// Pings the next target. A suspected target also gets its own record, so that it can refute
    /// the suspicion.
    pub(super) fn start_probe(&mut self, now: Time, outgoing: &mut OutgoingList) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let ip = member.record.vm.ip;
        let suspicion = (member.record.state == VmState::Suspect).then(|| member.record.clone());
        self.last_probe_number += 1;
        self.probes.push(Probe {
            number: self.last_probe_number,
            target,
            ip,
            started_at: now,
            is_indirect: false,
        });
        let mut ping = self.message(GossipKind::Ping, self.last_probe_number);
        ping.records.extend(suspicion);
        outgoing.push(Outgoing {
            to: ip,
            message: ping,
        });
    }

    /// Returns the VM to probe next. Each VM comes once, in random order, before any comes again;
    /// this bounds the time until each is probed.
    fn next_target(&mut self) -> Option<VmId> {
        for _ in 0..2 {
            while let Some(candidate) = self.probe_order.pop() {
                let is_probed = self.members.get(&candidate).is_some_and(|member| {
                    matches!(member.record.state, VmState::Alive | VmState::Suspect)
                });
                if is_probed {
                    return Some(candidate);
                }
            }
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Asks other VMs to probe the targets whose direct probes have timed out.
    pub(super) fn probe_indirectly(&mut self, now: Time, outgoing: &mut OutgoingList) {
        let probe_timeout = self.config.probe_timeout;
        let mut timed_out: SmallVec<[(u64, VmId, Ipv4Addr); 4]> = SmallVec::new();
        for probe in &mut self.probes {
            if !probe.is_indirect && now.since(probe.started_at) >= probe_timeout {
                probe.is_indirect = true;
                timed_out.push((probe.number, probe.target.clone(), probe.ip));
            }
        }
        for (number, target, ip) in timed_out {
            let proxies = self.shuffled_reachable(now, |member| member.record.vm.name != target);
            for proxy in proxies.into_iter().take(self.config.indirect_probes) {
                let message = self.message(GossipKind::PingRequest(ip), number);
                outgoing.push(Outgoing { to: proxy, message });
            }
        }
    }

    /// Ends the running probes and suspects their targets. A probe that was acknowledged, directly or
    /// through another VM, has been removed before.
    pub(super) fn end_probes(&mut self, now: Time) {
        for probe in std::mem::take(&mut self.probes) {
            let Some(member) = self.members.get(&probe.target) else {
                continue;
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
    }

    /// Notifies VMs that are suspected after a probe by this VM, every period until they refute it:
    /// a record that spreads with other messages may reach them only after the suspicion timeout.
    pub(super) fn notify_suspects(&self, outgoing: &mut OutgoingList) {
        let suspects = self
            .members
            .values()
            .filter(|member| member.is_suspected_here && member.record.state == VmState::Suspect);
        for suspect in suspects {
            let records = vec![suspect.record.clone()];
            let message = self.message_with(GossipKind::Ping, UNTRACKED_PROBE, records);
            outgoing.push(Outgoing {
                to: suspect.record.vm.ip,
                message,
            });
        }
    }
}
