//! Membership of VMs by gossip: one probe a period, indirect probes, suspicion, incarnations.
//!
//! The work of a VM does not depend on the number of VMs. Each message carries the most
//! recent changes; a VM that hears that it is suspected answers with a higher incarnation
//! (`docs/platform.md`, "Membership"). Answers the pattern of VMs that are killed, frozen,
//! cut off and restarted, alone and all at once.

mod message;
mod probing;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

pub use message::{GossipKind, GossipMessage, MembershipChange, Outgoing, VmRecord, VmState};

use crate::decisions::gossip::probing::{Probe, ProxyProbe};
use crate::fleet::model::FleetVm;
use crate::units::{Time, VmId};

/// Settings of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfig {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time after which a probe goes through other VMs.
    pub probe_timeout: Duration,
    /// VMs that are asked to probe in place of this one.
    pub indirect_probes: usize,
    /// Time for a suspected VM to object before it counts as dead.
    pub suspicion: Duration,
    /// Time after which a dead VM is forgotten.
    pub forget: Duration,
    /// Time between two messages to a seed or to a VM that counts as dead, which join parts
    /// of the fleet that were cut off from each other.
    pub rejoin_period: Duration,
    /// Time after the start in which a VM asks seeds and live VMs every `start_period`: all VMs
    /// start within 0.3 s of each other after a loss of power, and until they have met, each
    /// one batches stages for itself.
    pub start: Duration,
    /// Time between two such questions.
    pub start_period: Duration,
    /// Time after the start in which each rejoin period also asks a live VM for its records:
    /// what spreads by news alone reaches a VM late while a whole fleet starts.
    pub young: Duration,
    /// Time between two such questions afterwards.
    pub sync_period: Duration,
    /// Most records in one datagram, so that it fits into a packet.
    pub records_per_message: usize,
    /// A longer pause between two ticks means that this VM was suspended.
    pub suspended_after: Duration,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(150),
            indirect_probes: 2,
            suspicion: Duration::from_millis(1_000),
            forget: Duration::from_secs(30),
            rejoin_period: Duration::from_millis(1_200),
            start: Duration::from_millis(2_400),
            start_period: Duration::from_millis(300),
            young: Duration::from_secs(10),
            sync_period: Duration::from_secs(10),
            records_per_message: 12,
            suspended_after: Duration::from_millis(1_500),
        }
    }
}

#[derive(Debug)]
struct Member {
    record: VmRecord,
    changed_at: Time,
    /// Messages that still carry the record.
    sends_left: u32,
    /// Whether a probe of this VM, and not news, led to the suspicion.
    is_suspected_here: bool,
}

/// The membership as this VM sees it.
pub struct Gossip {
    config: GossipConfig,
    own: VmRecord,
    members: BTreeMap<VmId, Member>,
    seeds: Vec<Ipv4Addr>,
    order: Vec<VmId>,
    probe: Option<Probe>,
    proxies: SmallVec<[ProxyProbe; 4]>,
    probes: u64,
    next_probe_at: Time,
    next_rejoin_at: Time,
    next_sync_at: Time,
    started_at: Option<Time>,
    last_tick_at: Option<Time>,
    rng: ChaCha8Rng,
    changes: Vec<MembershipChange>,
    /// Revision of the platform's store that this VM knows; messages carry it.
    pub store_revision: u64,
}

/// Messages to send; most steps send at most a few.
pub type OutgoingList = SmallVec<[Outgoing; 4]>;

impl Gossip {
    /// Starts with the seeds only.
    pub fn new(
        config: GossipConfig,
        own: FleetVm,
        incarnation: u64,
        seeds: impl IntoIterator<Item = Ipv4Addr>,
        rng: ChaCha8Rng,
    ) -> Self {
        let own_ip = own.ip;
        Self {
            config,
            own: VmRecord {
                vm: own,
                incarnation,
                state: VmState::Alive,
                is_serving: false,
            },
            members: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != own_ip).collect(),
            order: Vec::new(),
            probe: None,
            proxies: SmallVec::new(),
            probes: 0,
            next_probe_at: Time::ZERO,
            next_rejoin_at: Time::ZERO,
            next_sync_at: Time::ZERO,
            started_at: None,
            last_tick_at: None,
            rng,
            changes: Vec::new(),
            store_revision: 0,
        }
    }

    /// Replaces the seeds after the settings changed.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        let own_ip = self.own.vm.ip;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own_ip).collect();
    }

    /// Says whether this VM takes requests; other VMs hear of it with the next messages.
    pub fn set_serving(&mut self, is_serving: bool) -> OutgoingList {
        if self.own.is_serving == is_serving {
            return OutgoingList::new();
        }
        self.own.is_serving = is_serving;
        self.own.incarnation += 1;
        self.tell_all()
    }

    /// Tells the others that this VM leaves.
    pub fn leave(&mut self) -> OutgoingList {
        self.own.is_serving = false;
        self.own.incarnation += 1;
        self.own.state = VmState::Left;
        self.tell_all()
    }

    /// Returns the live VMs that take requests; this one is among them when it serves.
    pub fn serving(&self) -> impl Iterator<Item = &FleetVm> {
        let own = self.own.is_serving.then_some(&self.own.vm);
        let others = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Alive && member.record.is_serving);
        own.into_iter()
            .chain(others.map(|member| &member.record.vm))
    }

    /// Returns how many VMs are known, those included that died or left lately.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns when [`Gossip::tick`] has something to do.
    pub fn next_tick_at(&self) -> Time {
        let timeout = self.probe.as_ref().filter(|probe| !probe.is_indirect);
        let timeout = timeout.map(|probe| probe.started_at + self.config.probe_timeout);
        let due = self.next_probe_at.min(self.next_rejoin_at);
        timeout.map_or(due, |at| at.min(due))
    }

    /// Takes the changes of belief since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> OutgoingList {
        let mut outgoing = OutgoingList::new();
        self.forgive_own_suspension(now);
        self.last_tick_at = Some(now);
        self.probe_indirectly(now, &mut outgoing);
        if now >= self.next_probe_at {
            self.end_probe(now);
            self.next_probe_at = now + self.config.probe_period;
            self.tell_suspects(&mut outgoing);
            self.start_probe(now, &mut outgoing);
        }
        let age = now.since(*self.started_at.get_or_insert(now));
        let is_starting = age < self.config.start;
        let rejoin_period = match is_starting {
            true => self.config.start_period,
            false => self.config.rejoin_period,
        };
        if now >= self.next_rejoin_at {
            self.next_rejoin_at = now + rejoin_period;
            self.rejoin(&mut outgoing);
        }
        if now >= self.next_sync_at {
            let is_young = is_starting || age < self.config.young;
            self.next_sync_at = now
                + match is_young {
                    true => rejoin_period,
                    false => self.config.sync_period,
                };
            self.sync(&mut outgoing);
        }
        self.expire(now);
        outgoing
    }

    /// Handles a message.
    pub fn receive(&mut self, now: Time, message: &GossipMessage) -> OutgoingList {
        let mut outgoing = OutgoingList::new();
        if message.sender.vm.name == self.own.vm.name {
            return outgoing;
        }
        let sender_ip = message.sender.vm.ip;
        self.merge(now, &message.sender);
        for record in &message.records {
            self.merge(now, record);
        }
        match &message.kind {
            GossipKind::Ping => {
                let ack = self.message(GossipKind::Ack, message.probe);
                outgoing.push(Outgoing {
                    to: sender_ip,
                    message: ack,
                });
            }
            GossipKind::Join => self.send_all_records(sender_ip, &mut outgoing),
            GossipKind::PingRequest(target) => {
                self.probes += 1;
                self.proxies.push(ProxyProbe {
                    number: self.probes,
                    asker: sender_ip,
                    asker_probe: message.probe,
                    started_at: now,
                });
                let ping = self.message(GossipKind::Ping, self.probes);
                outgoing.push(Outgoing {
                    to: *target,
                    message: ping,
                });
            }
            GossipKind::Ack => self.on_ack(message.probe, &mut outgoing),
            GossipKind::Records => {}
        }
        // A sender whose state here is worse than alive learns of it and objects.
        let is_doubted = self
            .members
            .get(&message.sender.vm.name)
            .is_some_and(|member| {
                member.record.state != VmState::Alive && message.sender.state == VmState::Alive
            });
        if is_doubted && message.kind != GossipKind::Records {
            let mut objection = self.message(GossipKind::Records, 0);
            objection.records = self
                .members
                .get(&message.sender.vm.name)
                .map(|member| member.record.clone())
                .into_iter()
                .collect();
            outgoing.push(Outgoing {
                to: sender_ip,
                message: objection,
            });
        }
        outgoing
    }

    fn on_ack(&mut self, number: u64, outgoing: &mut OutgoingList) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.probe = None;
            return;
        }
        let position = self.proxies.iter().position(|proxy| proxy.number == number);
        if let Some(position) = position {
            let proxy = self.proxies.remove(position);
            let ack = self.message(GossipKind::Ack, proxy.asker_probe);
            outgoing.push(Outgoing {
                to: proxy.asker,
                message: ack,
            });
        }
    }

    fn rejoin(&mut self, outgoing: &mut OutgoingList) {
        let is_alone = !self
            .members
            .values()
            .any(|member| member.record.state == VmState::Alive);
        let mut lost: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Dead)
            .map(|member| member.record.vm.ip)
            .collect();
        let known = |ip: &Ipv4Addr| {
            self.members
                .values()
                .any(|member| member.record.vm.ip == *ip && member.record.state == VmState::Alive)
        };
        lost.extend(self.seeds.iter().filter(|seed| !known(seed)));
        lost.shuffle(&mut self.rng);
        // A VM that knows nobody asks every seed; else one message a period suffices.
        let count = if is_alone { lost.len() } else { 1 };
        for to in lost.into_iter().take(count) {
            let message = self.message(GossipKind::Join, 0);
            outgoing.push(Outgoing { to, message });
        }
    }

    /// Returns the addresses of the live VMs that pass a filter, in random order.
    fn shuffled_live(&mut self, is_wanted: impl Fn(&Member) -> bool) -> Vec<Ipv4Addr> {
        let mut live: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Alive && is_wanted(member))
            .map(|member| member.record.vm.ip)
            .collect();
        live.shuffle(&mut self.rng);
        live
    }

    /// Asks one live VM for its records.
    fn sync(&mut self, outgoing: &mut OutgoingList) {
        if let Some(to) = self.shuffled_live(|_| true).pop() {
            let message = self.message(GossipKind::Join, 0);
            outgoing.push(Outgoing { to, message });
        }
    }

    fn expire(&mut self, now: Time) {
        let suspicion = self.config.suspicion;
        let lapsed: Vec<VmRecord> = self
            .members
            .values()
            .filter(|member| {
                member.record.state == VmState::Suspect && now.since(member.changed_at) >= suspicion
            })
            .map(|member| VmRecord {
                state: VmState::Dead,
                ..member.record.clone()
            })
            .collect();
        for record in lapsed {
            self.merge(now, &record);
        }
        let forget = self.config.forget;
        self.members.retain(|_, member| {
            !matches!(member.record.state, VmState::Dead | VmState::Left)
                || now.since(member.changed_at) < forget
        });
        let timeout = self.config.suspicion;
        self.proxies
            .retain(|proxy| now.since(proxy.started_at) < timeout);
    }

    /// Takes over a record if it is newer than what is known.
    fn merge(&mut self, now: Time, record: &VmRecord) {
        if record.vm.name == self.own.vm.name {
            self.object(record);
            return;
        }
        let known = self
            .members
            .get(&record.vm.name)
            .map(|member| &member.record);
        let is_newer = known.is_none_or(|known| {
            (record.incarnation, record.state) > (known.incarnation, known.state)
        });
        if !is_newer {
            return;
        }
        let is_change = known.is_none_or(|known| {
            known.state != record.state || known.is_serving != record.is_serving
        });
        // A VM that was never seen alive is no news when it is gone.
        if known.is_none() && record.state > VmState::Suspect {
            return;
        }
        if is_change {
            self.changes.push(MembershipChange {
                vm: record.vm.name.clone(),
                state: record.state,
                incarnation: record.incarnation,
            });
        }
        let sends_left = 3 * (self.members.len() as u32 + 2).ilog2() + 3;
        let member = Member {
            record: record.clone(),
            changed_at: now,
            sends_left,
            is_suspected_here: false,
        };
        self.members.insert(record.vm.name.clone(), member);
    }

    /// Answers a doubt about this VM, or an older run of it, with a higher incarnation.
    fn object(&mut self, record: &VmRecord) {
        let is_same = record.state == self.own.state && record.is_serving == self.own.is_serving;
        let is_doubt = record.incarnation > self.own.incarnation
            || (record.incarnation == self.own.incarnation && !is_same);
        if is_doubt {
            self.own.incarnation = record.incarnation + 1;
        }
    }

    fn message(&mut self, kind: GossipKind, probe: u64) -> GossipMessage {
        let records = self.news();
        self.message_with(kind, probe, records)
    }

    fn message_with(&self, kind: GossipKind, probe: u64, records: Vec<VmRecord>) -> GossipMessage {
        GossipMessage {
            kind,
            probe,
            sender: self.own.clone(),
            records,
            store_revision: self.store_revision,
        }
    }

    /// Takes the records that fewest messages have carried yet.
    fn news(&mut self) -> Vec<VmRecord> {
        let mut fresh: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        fresh.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        fresh
            .into_iter()
            .take(self.config.records_per_message)
            .map(|member| {
                member.sends_left -= 1;
                member.record.clone()
            })
            .collect()
    }

    /// Sends all records, in as many datagrams as they need: a random part would leave gaps
    /// that take several questions to fill.
    fn send_all_records(&self, to: Ipv4Addr, outgoing: &mut OutgoingList) {
        let records: Vec<VmRecord> = self
            .members
            .values()
            .filter(|member| member.record.state <= VmState::Suspect)
            .map(|member| member.record.clone())
            .collect();
        let mut reply = |records: &[VmRecord]| {
            let message = self.message_with(GossipKind::Records, 0, records.to_vec());
            outgoing.push(Outgoing { to, message });
        };
        if records.is_empty() {
            reply(&[]);
        }
        records
            .chunks(2 * self.config.records_per_message)
            .for_each(&mut reply);
    }

    /// Tells a change of this VM to as many others as one round of gossip would reach.
    fn tell_all(&mut self) -> OutgoingList {
        const TOLD_AT_ONCE: usize = 8;
        let mut targets = self.shuffled_live(|_| true);
        targets.truncate(TOLD_AT_ONCE);
        let tell = |to| {
            let message = self.message(GossipKind::Records, 0);
            Outgoing { to, message }
        };
        targets.into_iter().map(tell).collect()
    }
}
