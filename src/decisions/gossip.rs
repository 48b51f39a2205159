//! Gossip membership with periodic probes, indirect probes, suspicion and incarnations.
//!
//! Each VM probes one other VM a period, so its work does not depend on the number of VMs. Each
//! message carries the most recent changes. A VM that learns that it is suspected refutes the
//! suspicion with a higher incarnation (`docs/platform.md`, "Membership"). This handles VMs that
//! are killed, frozen, partitioned or restarted, one at a time or all at once.

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
use crate::decisions::revision_lag::StoreProgress;
use crate::decisions::warm_start::{WarmStart, WarmStartConfig};
use crate::fleet::model::FleetVm;
use crate::units::{Time, VmId};

/// Settings of the gossip protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfig {
    /// Interval between two probes.
    pub probe_period: Duration,
    /// Timeout of a direct probe, after which other VMs are asked to probe the target.
    pub probe_timeout: Duration,
    /// Maximum number of VMs that are asked to probe a target in place of this one.
    pub indirect_probes: usize,
    /// Timeout for a suspected VM to refute the suspicion before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Time after which the record of a VM that is dead or has left is dropped.
    pub forget_after: Duration,
    /// Interval between two messages to a seed or to a VM that counts as dead. They reconnect
    /// parts of the fleet after a network partition.
    pub rejoin_period: Duration,
    /// Time after the start in which a VM asks seeds and live VMs for their records every
    /// `startup_rejoin_period`. After a power loss all VMs start within 0.3 s of each other, and
    /// until they know each other, each one batches stages on its own.
    pub startup_duration: Duration,
    /// Interval between two messages to the seeds during `startup_duration` while this VM knows no live VM.
    /// The seeds may be the last to start.
    pub alone_rejoin_period: Duration,
    /// Interval between two requests for records during `startup_duration`.
    pub startup_rejoin_period: Duration,
    /// Time after the start in which this VM asks a live VM for its records every rejoin period
    /// and not every `sync_period`: while a whole fleet starts, records that spread only with
    /// other messages reach a VM late.
    pub frequent_sync_duration: Duration,
    /// Interval between two requests for a live VM's records after `frequent_sync_duration`.
    pub sync_period: Duration,
    /// Maximum number of changed records in one message, so that its datagram fits into a packet.
    /// A reply with all records carries up to twice as many in each datagram.
    pub records_per_message: usize,
    /// Number of VMs that are probed in a period while more changed records wait than one message
    /// carries: when many VMs have died, the others are found soon.
    pub backlog_probes: usize,
    /// Maximum number of further messages that a VM sends in a probe period while more changed records
    /// wait than one message carries. They spread the news of hundreds of VMs that die at once.
    pub extra_messages: usize,
    /// Time for which a VM counts as certainly alive after a message from it.
    pub recently_heard: Duration,
    /// Bound for the pause between two ticks. After a longer pause this VM assumes that it was
    /// suspended.
    pub suspended_after: Duration,
    /// Settings of the decision when this VM has met its fleet.
    pub warm_start: WarmStartConfig,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(150),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_millis(1_000),
            forget_after: Duration::from_secs(30),
            rejoin_period: Duration::from_millis(1_200),
            startup_duration: Duration::from_millis(2_400),
            alone_rejoin_period: Duration::from_millis(100),
            startup_rejoin_period: Duration::from_millis(300),
            frequent_sync_duration: Duration::from_secs(10),
            sync_period: Duration::from_secs(10),
            records_per_message: 12,
            backlog_probes: 4,
            extra_messages: 6,
            recently_heard: Duration::from_millis(1_500),
            suspended_after: Duration::from_millis(1_500),
            warm_start: WarmStartConfig::default(),
        }
    }
}

/// Another VM as this VM knows it.
#[derive(Debug)]
struct Member {
    record: VmRecord,
    changed_at: Time,
    /// When the last message from the VM itself arrived.
    heard_at: Option<Time>,
    /// Number of further messages that are to carry the record.
    sends_left: u32,
    /// Whether a probe by this VM, and not a received record, led to the suspicion.
    is_suspected_here: bool,
}

/// The membership as this VM sees it.
pub struct Gossip {
    config: GossipConfig,
    own_record: VmRecord,
    members: BTreeMap<VmId, Member>,
    seeds: Vec<Ipv4Addr>,
    /// VMs to probe, the next one last.
    probe_order: Vec<VmId>,
    /// Probes by this VM that wait for their acknowledgements.
    probes: SmallVec<[Probe; 4]>,
    /// Probes in place of other VMs that wait for their acknowledgements.
    proxy_probes: SmallVec<[ProxyProbe; 4]>,
    /// Number of the newest probe by this VM, on its own or another VM's behalf.
    last_probe_number: u64,
    next_probe_at: Time,
    next_rejoin_at: Time,
    next_sync_at: Time,
    next_meeting_at: Time,
    started_at: Option<Time>,
    last_tick_at: Option<Time>,
    warm_start: WarmStart,
    rng: ChaCha8Rng,
    changes: Vec<MembershipChange>,
    /// Number of changes so far to what [`Gossip::serving`] and [`Gossip::known_count`] return.
    version: u64,
    /// How far this VM has followed the platform's store; each message carries it.
    pub store: StoreProgress,
}

/// Messages to send. Most calls return few, so they are stored inline.
pub type OutgoingList = SmallVec<[Outgoing; 4]>;

impl Gossip {
    /// Creates the state of a VM that knows no other VMs, only the addresses of the seeds.
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
            own_record: VmRecord {
                vm: own,
                incarnation,
                state: VmState::Alive,
                is_serving: false,
            },
            members: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != own_ip).collect(),
            probe_order: Vec::new(),
            probes: SmallVec::new(),
            proxy_probes: SmallVec::new(),
            last_probe_number: 0,
            next_probe_at: Time::ZERO,
            next_rejoin_at: Time::ZERO,
            next_sync_at: Time::ZERO,
            next_meeting_at: Time::ZERO,
            started_at: None,
            last_tick_at: None,
            warm_start: WarmStart::default(),
            rng,
            changes: Vec::new(),
            version: 0,
            store: StoreProgress::default(),
        }
    }

    /// Replaces the seeds after the settings changed.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        let own_ip = self.own_record.vm.ip;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own_ip).collect();
    }

    /// Sets whether this VM takes requests, and returns messages that announce a change.
    pub fn set_serving(&mut self, is_serving: bool) -> OutgoingList {
        if self.own_record.is_serving == is_serving {
            return OutgoingList::new();
        }
        self.own_record.is_serving = is_serving;
        self.version += 1;
        self.own_record.incarnation += 1;
        self.announce_own_change()
    }

    /// Marks this VM as leaving, and returns messages that announce it.
    pub fn leave(&mut self) -> OutgoingList {
        self.own_record.is_serving = false;
        self.version += 1;
        self.own_record.incarnation += 1;
        self.own_record.state = VmState::Left;
        self.announce_own_change()
    }

    /// Returns the live VMs that take requests, including this VM if it does.
    pub fn serving(&self) -> impl Iterator<Item = &FleetVm> {
        let own = self.own_record.is_serving.then_some(&self.own_record.vm);
        let others = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Alive && member.record.is_serving);
        own.into_iter()
            .chain(others.map(|member| &member.record.vm))
    }

    /// Returns the other VMs that are alive, whether they take requests or not.
    pub fn live(&self) -> impl Iterator<Item = &FleetVm> {
        let live = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Alive);
        live.map(|member| &member.record.vm)
    }

    /// Returns up to `count` other VMs that take requests, those first that have run for longest: they know most of
    /// what has changed lately.
    pub fn oldest_serving(&self, count: usize) -> impl Iterator<Item = &FleetVm> {
        let records = self.members.values().map(|member| &member.record);
        let mut serving: Vec<&VmRecord> = records
            .filter(|record| record.state == VmState::Alive && record.is_serving)
            .collect();
        serving.sort_by_key(|record| record.incarnation);
        serving.into_iter().take(count).map(|record| &record.vm)
    }

    /// Returns the VMs that take requests and started at least `age` before this one, by the VMs' times of day.
    pub fn older_serving(&self, age: Duration) -> impl Iterator<Item = &FleetVm> {
        let age_micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let own = self.own_record.incarnation;
        let records = self.members.values().map(|member| &member.record);
        let older = records.filter(move |record| {
            let is_serving = record.state == VmState::Alive && record.is_serving;
            is_serving && record.incarnation.saturating_add(age_micros) <= own
        });
        older.map(|record| &record.vm)
    }

    /// Returns the number of known VMs, including this one and VMs that died or left recently.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns when [`Gossip::tick`] has something to do.
    pub fn next_tick_at(&self) -> Time {
        let direct = self.probes.iter().filter(|probe| !probe.is_indirect);
        let timeouts = direct.map(|probe| probe.started_at + self.config.probe_timeout);
        let timeout = timeouts.min();
        let due = self.next_probe_at.min(self.next_rejoin_at);
        let warm_start = self.warm_start.due_at(&self.config.warm_start);
        let meeting = self.is_meeting().then_some(self.next_meeting_at);
        let others = timeout.into_iter().chain(warm_start).chain(meeting);
        others.fold(due, Time::min)
    }

    /// Returns whether this VM has met its fleet since it started.
    pub fn has_met(&self) -> bool {
        self.warm_start.has_met()
    }

    /// Returns how many VMs are alive, this one included, once it knows its fleet well enough to tell others.
    fn fleet_size(&self) -> Option<usize> {
        let now = self.last_tick_at?;
        let is_known = self.warm_start.knows_fleet_size(now);
        is_known.then(|| self.live().count() + 1)
    }

    /// Decides whether this VM has met its fleet.
    fn update_warm_start(&mut self, now: Time) {
        if self.warm_start.has_met() {
            return;
        }
        // Without seeds there is nobody to meet.
        let known_vms = self.live().count() + 1;
        let config = &self.config.warm_start;
        if self.seeds.is_empty() {
            self.warm_start.on_fleet_size(1);
        }
        if self.warm_start.update(now, known_vms, config) {
            self.version += 1;
        }
    }

    /// Returns a number that rises with each change to the known VMs and to what they serve.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the changes of known VMs since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Runs everything that is due at `now`, and returns the messages to send.
    pub fn tick(&mut self, now: Time) -> OutgoingList {
        let mut outgoing = OutgoingList::new();
        self.reset_suspicions_after_suspension(now);
        self.last_tick_at = Some(now);
        self.probe_indirectly(now, &mut outgoing);
        if now >= self.next_probe_at {
            self.end_probes(now);
            self.next_probe_at = now + self.config.probe_period;
            self.notify_suspects(&mut outgoing);
            let backlog = self.backlog();
            let probes = match backlog {
                0 => 1,
                _ => self.config.backlog_probes,
            };
            (0..probes).for_each(|_| self.start_probe(now, &mut outgoing));
            self.spread_backlog(now, backlog, &mut outgoing);
        }
        let age = now.since(*self.started_at.get_or_insert(now));
        let is_starting = age < self.config.startup_duration;
        let rejoin_period = match is_starting {
            true => self.config.startup_rejoin_period,
            false => self.config.rejoin_period,
        };
        if now >= self.next_rejoin_at {
            let is_alone = is_starting && self.live().next().is_none();
            self.next_rejoin_at = now
                + match is_alone {
                    true => self.config.alone_rejoin_period,
                    false => rejoin_period,
                };
            self.rejoin(&mut outgoing);
        }
        if now >= self.next_sync_at {
            let syncs_often = is_starting || age < self.config.frequent_sync_duration;
            self.next_sync_at = now
                + match syncs_often {
                    true => rejoin_period,
                    false => self.config.sync_period,
                };
            self.sync(&mut outgoing);
        }
        if now >= self.next_meeting_at && self.is_meeting() {
            self.next_meeting_at = now + self.config.alone_rejoin_period;
            self.ask_live_seed(&mut outgoing);
        }
        self.expire(now);
        self.update_warm_start(now);
        outgoing
    }

    /// Handles a received message, and returns the messages to send in reply.
    pub fn receive(&mut self, now: Time, message: &GossipMessage) -> OutgoingList {
        let mut outgoing = OutgoingList::new();
        if message.sender.vm.name == self.own_record.vm.name {
            return outgoing;
        }
        let sender_ip = message.sender.vm.ip;
        self.merge(now, &message.sender);
        if let Some(sender) = self.members.get_mut(&message.sender.vm.name) {
            sender.heard_at = Some(now);
        }
        for record in &message.records {
            self.merge(now, record);
        }
        if let Some(fleet_size) = message.fleet_size {
            self.warm_start.on_fleet_size(fleet_size);
        }
        self.update_warm_start(now);
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
                self.last_probe_number += 1;
                self.proxy_probes.push(ProxyProbe {
                    number: self.last_probe_number,
                    requester: sender_ip,
                    requester_probe: message.probe,
                    started_at: now,
                });
                let ping = self.message(GossipKind::Ping, self.last_probe_number);
                outgoing.push(Outgoing {
                    to: *target,
                    message: ping,
                });
            }
            GossipKind::Ack => self.handle_ack(message.probe, &mut outgoing),
            GossipKind::Records => {}
        }
        // A sender that is alive, but recorded here as suspected, dead or left, gets that record so
        // that it can refute it.
        let is_contradicted = self
            .members
            .get(&message.sender.vm.name)
            .is_some_and(|member| {
                member.record.state != VmState::Alive && message.sender.state == VmState::Alive
            });
        if is_contradicted && message.kind != GossipKind::Records {
            let mut notice = self.message(GossipKind::Records, 0);
            notice.records = self
                .members
                .get(&message.sender.vm.name)
                .map(|member| member.record.clone())
                .into_iter()
                .collect();
            outgoing.push(Outgoing {
                to: sender_ip,
                message: notice,
            });
        }
        outgoing
    }

    fn handle_ack(&mut self, number: u64, outgoing: &mut OutgoingList) {
        let position = self.probes.iter().position(|probe| probe.number == number);
        if let Some(position) = position {
            self.probes.swap_remove(position);
            return;
        }
        let position = self
            .proxy_probes
            .iter()
            .position(|proxy| proxy.number == number);
        if let Some(position) = position {
            let proxy = self.proxy_probes.remove(position);
            let ack = self.message(GossipKind::Ack, proxy.requester_probe);
            outgoing.push(Outgoing {
                to: proxy.requester,
                message: ack,
            });
        }
    }

    /// Asks seeds that are not known to be alive, and VMs that count as dead, for their records.
    fn rejoin(&mut self, outgoing: &mut OutgoingList) {
        let is_alone = !self
            .members
            .values()
            .any(|member| member.record.state == VmState::Alive);
        let mut targets: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Dead)
            .map(|member| member.record.vm.ip)
            .collect();
        let is_alive = |ip: &Ipv4Addr| {
            self.members
                .values()
                .any(|member| member.record.vm.ip == *ip && member.record.state == VmState::Alive)
        };
        targets.extend(self.seeds.iter().filter(|seed| !is_alive(seed)));
        targets.shuffle(&mut self.rng);
        // A VM that knows no live VM asks all targets; otherwise one message a period suffices.
        let count = if is_alone { targets.len() } else { 1 };
        for to in targets.into_iter().take(count) {
            let message = self.message(GossipKind::Join, 0);
            outgoing.push(Outgoing { to, message });
        }
    }

    /// Returns the addresses of the live VMs for which `filter` is true, in random order.
    fn shuffled_live(&mut self, filter: impl Fn(&Member) -> bool) -> Vec<Ipv4Addr> {
        let mut live: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|member| member.record.state == VmState::Alive && filter(member))
            .map(|member| member.record.vm.ip)
            .collect();
        live.shuffle(&mut self.rng);
        live
    }

    /// Like [`Gossip::shuffled_live`], but VMs that were heard from lately come first. After many VMs
    /// have died at once, most of those that count as alive may be dead.
    fn shuffled_reachable(&mut self, now: Time, filter: impl Fn(&Member) -> bool) -> Vec<Ipv4Addr> {
        let recently_heard = self.config.recently_heard;
        let is_recent = |member: &Member| {
            member
                .heard_at
                .is_some_and(|at| now.since(at) <= recently_heard)
        };
        let mut targets = self.shuffled_live(|member| filter(member) && is_recent(member));
        targets.extend(self.shuffled_live(|member| filter(member) && !is_recent(member)));
        targets
    }

    /// Returns whether this VM knows others, but may not know its whole fleet yet.
    fn is_meeting(&self) -> bool {
        !self.has_met() && self.live().next().is_some()
    }

    /// Asks a live seed for its records: all VMs of a fleet that starts have turned to the seeds first.
    fn ask_live_seed(&mut self, outgoing: &mut OutgoingList) {
        let seeds = self.seeds.clone();
        let is_seed = |member: &Member| seeds.contains(&member.record.vm.ip);
        if let Some(to) = self.shuffled_live(is_seed).pop() {
            let message = self.message(GossipKind::Join, 0);
            outgoing.push(Outgoing { to, message });
        }
    }

    /// Asks one randomly chosen live VM for its records.
    fn sync(&mut self, outgoing: &mut OutgoingList) {
        if let Some(to) = self.shuffled_live(|_| true).pop() {
            let message = self.message(GossipKind::Join, 0);
            outgoing.push(Outgoing { to, message });
        }
    }

    /// Declares suspects dead after the suspicion timeout, and drops old records and probes.
    fn expire(&mut self, now: Time) {
        let suspicion_timeout = self.config.suspicion_timeout;
        let expired: Vec<VmRecord> = self
            .members
            .values()
            .filter(|member| {
                member.record.state == VmState::Suspect
                    && now.since(member.changed_at) >= suspicion_timeout
            })
            .map(|member| VmRecord {
                state: VmState::Dead,
                ..member.record.clone()
            })
            .collect();
        for record in expired {
            self.merge(now, &record);
        }
        let forget_after = self.config.forget_after;
        let known = self.members.len();
        self.members.retain(|_, member| {
            !matches!(member.record.state, VmState::Dead | VmState::Left)
                || now.since(member.changed_at) < forget_after
        });
        if self.members.len() != known {
            self.version += 1;
        }
        let timeout = self.config.suspicion_timeout;
        self.proxy_probes
            .retain(|proxy| now.since(proxy.started_at) < timeout);
    }

    /// Stores a record if it is newer than the known record of the VM.
    fn merge(&mut self, now: Time, record: &VmRecord) {
        if record.vm.name == self.own_record.vm.name {
            self.refute(record);
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
            known.state != record.state
                || known.is_serving != record.is_serving
                || known.vm != record.vm
        });
        // A VM that is first heard of when it is already dead or has left is ignored.
        if known.is_none() && record.state > VmState::Suspect {
            return;
        }
        if is_change {
            self.version += 1;
            self.changes.push(MembershipChange {
                vm: record.vm.name.clone(),
                state: record.state,
                incarnation: record.incarnation,
            });
        }
        let sends_left = 3 * (self.members.len() as u32 + 2).ilog2() + 3;
        let heard_at = self.members.get(&record.vm.name);
        let heard_at = heard_at.and_then(|member| member.heard_at);
        let member = Member {
            record: record.clone(),
            changed_at: now,
            heard_at,
            sends_left,
            is_suspected_here: false,
        };
        self.members.insert(record.vm.name.clone(), member);
    }

    /// Raises this VM's incarnation if a record contradicts its state or has a higher incarnation,
    /// which another VM may still hold from an earlier process of this VM.
    fn refute(&mut self, record: &VmRecord) {
        let same_state = record.state == self.own_record.state
            && record.is_serving == self.own_record.is_serving;
        let must_refute = record.incarnation > self.own_record.incarnation
            || (record.incarnation == self.own_record.incarnation && !same_state);
        if must_refute {
            self.own_record.incarnation = record.incarnation.saturating_add(1);
        }
    }

    /// Returns how many full messages of changed records wait: more than 0 only while many VMs start,
    /// die or return.
    fn backlog(&self) -> usize {
        let waiting = self.members.values().filter(|member| member.sends_left > 0);
        waiting.count() / self.config.records_per_message
    }

    /// Sends changed records to further VMs while they wait.
    fn spread_backlog(&mut self, now: Time, backlog: usize, outgoing: &mut OutgoingList) {
        if backlog == 0 {
            return;
        }
        let mut targets = self.shuffled_reachable(now, |_| true);
        targets.truncate(backlog.min(self.config.extra_messages));
        for to in targets {
            let records = self.take_records_to_spread(2 * self.config.records_per_message);
            let message = self.message_with(GossipKind::Records, 0, records);
            outgoing.push(Outgoing { to, message });
        }
    }

    /// Builds a message that carries the records that are due to spread.
    fn message(&mut self, kind: GossipKind, probe: u64) -> GossipMessage {
        let records = self.take_records_to_spread(self.config.records_per_message);
        self.message_with(kind, probe, records)
    }

    fn message_with(&self, kind: GossipKind, probe: u64, records: Vec<VmRecord>) -> GossipMessage {
        GossipMessage {
            kind,
            probe,
            sender: self.own_record.clone(),
            records,
            store: self.store,
            fleet_size: self.fleet_size(),
        }
    }

    /// Returns the changed records with the most sends left, and counts one send of each.
    fn take_records_to_spread(&mut self, max_records: usize) -> Vec<VmRecord> {
        let mut pending: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.sends_left > 0)
            .collect();
        pending.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        pending
            .into_iter()
            .take(max_records)
            .map(|member| {
                member.sends_left -= 1;
                member.record.clone()
            })
            .collect()
    }

    /// Sends the records of all live and suspected VMs, in as many datagrams as they need. With a
    /// random selection the recipient would have to ask several times to get all of them.
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

    /// Announces a change of this VM to some live VMs, as many as one round of gossip would reach.
    fn announce_own_change(&mut self) -> OutgoingList {
        const MAX_ANNOUNCEMENTS: usize = 8;
        let mut targets = self.shuffled_live(|_| true);
        targets.truncate(MAX_ANNOUNCEMENTS);
        let announce = |to| {
            let message = self.message(GossipKind::Records, 0);
            Outgoing { to, message }
        };
        targets.into_iter().map(announce).collect()
    }
}
