//! Leases that a majority of the VMs on the VM list acknowledges.
//!
//! `docs/design.md`, 3.1 gives the rules and why they are safe. The modules: `peer` stores what
//! was exchanged with one VM, `lease` counts majorities, `recovery` restores a restarted VM,
//! `absence` votes that a VM is absent, and `ownership` derives the right to act as owner of a key.

mod absence;
mod lease;
mod ownership;
mod peer;
mod recovery;

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use self::absence::Absence;
use self::lease::Lease;
use self::ownership::KeyOwnershipEpoch;
use self::peer::Peer;
use self::recovery::Recovery;
use crate::decisions::rendezvous::rendezvous_order;
use crate::units::{Incarnation, Time, Version, VmId};

/// Durations that govern leases and absence votes. All VMs of a fleet must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between heartbeats to a peer.
    pub heartbeat: Duration,
    /// Time for which an acknowledgement counts, from the time at which its heartbeat was sent.
    pub lease: Duration,
    /// Time without a heartbeat of a peer after which the peer may be voted absent.
    pub suspicion: Duration,
    /// Safety margin for clocks that run at slightly different speeds.
    pub margin: Duration,
    /// Time for which an absence vote counts.
    pub absence_vote_life: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(200),
            lease: Duration::from_secs(1),
            suspicion: Duration::from_millis(600),
            margin: Duration::from_millis(100),
            absence_vote_life: Duration::from_secs(1),
        }
    }
}

/// The members of one version of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Version of the list.
    pub version: Version,
    /// All VMs on the list, live and leaving.
    pub members: SmallVec<[VmId; 8]>,
}

impl MemberList {
    /// Returns the size of a majority: any two sets of this many members share a member.
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Asks a peer to acknowledge this VM's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Number of the heartbeat to this peer, which rises by one with each.
    pub sequence: u64,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Version of the list that the sender uses.
    pub list_version: Version,
}

/// Answers a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Sequence of the heartbeat that is answered.
    pub sequence: u64,
    /// Incarnation that sent the heartbeat, so that a restarted sender ignores old answers.
    pub to_incarnation: Incarnation,
    /// Incarnation of the acknowledging VM.
    pub incarnation: Incarnation,
    /// Version of the newest list that the acknowledging VM holds.
    pub list_version: Version,
    /// Whether the sender's lease is acknowledged.
    pub granted: bool,
    /// Whether the acknowledging VM is still recovering after a restart.
    pub recovering: bool,
    /// Older lists whose majority is not yet known to have moved to a newer list.
    pub predecessors: Vec<MemberList>,
    /// Version of the newest list that is known to have been in force. Older lists can no longer
    /// be in force.
    pub resolved: Version,
    /// VMs that the acknowledging VM promises not to acknowledge for `absence_vote_life`.
    pub absence_votes: SmallVec<[VmId; 2]>,
}

/// An uninterrupted time during which this VM may act as owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipEpoch {
    /// Number of the epoch, which rises with each new epoch of this VM for the key.
    pub number: u64,
    /// Start of the epoch. From this time on nothing that an earlier owner granted can be used.
    pub since: Time,
    /// End of the epoch as known now. The owner may act only before it.
    pub until: Time,
}

/// Lease, list and votes of this VM, and what it knows of its peers.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    me: VmId,
    incarnation: Incarnation,
    list: MemberList,
    /// Older lists whose majority is not yet known to have moved to a newer list.
    predecessors: Vec<MemberList>,
    /// Version of the newest list that is known to have been in force.
    resolved: Version,
    /// VMs that operators state to be stopped for good.
    fenced: SmallVec<[VmId; 2]>,
    peers: HashMap<VmId, Peer>,
    recovery: Recovery,
    lease: Lease,
    absences: HashMap<VmId, Absence>,
    epochs: HashMap<String, KeyOwnershipEpoch>,
    epoch_count: u64,
    /// Latest time at which this VM is known to have been running.
    active_at: Time,
    /// Whether this VM has given up acting as owner, for a planned stop.
    resigned: bool,
    /// Time of the last refresh; `None` once a message or list arrived after it.
    refreshed_at: Option<Time>,
}

impl Membership {
    /// Creates the state of a VM without a list, which knows nothing of earlier incarnations.
    pub fn new(config: MembershipConfig, me: VmId, incarnation: Incarnation, now: Time) -> Self {
        assert!(
            config.absence_vote_life <= config.lease,
            "a restarted VM is silent for one lease, which must outlast its earlier absence votes"
        );
        Self {
            config,
            me,
            incarnation,
            list: MemberList::default(),
            predecessors: Vec::new(),
            resolved: Version::default(),
            fenced: SmallVec::new(),
            peers: HashMap::new(),
            recovery: Recovery::new(now, &config),
            lease: Lease::default(),
            absences: HashMap::new(),
            epochs: HashMap::new(),
            epoch_count: 0,
            active_at: now,
            resigned: false,
            refreshed_at: None,
        }
    }

    /// Installs a VM list from the platform or a peer, unless a newer list is already installed.
    ///
    /// `fenced` names VMs that operators state to be stopped for good; they are recorded in any
    /// case.
    pub fn install_list(
        &mut self,
        now: Time,
        list: MemberList,
        fenced: impl IntoIterator<Item = VmId>,
    ) {
        self.refresh(now);
        self.refreshed_at = None;
        for vm in fenced {
            if !self.fenced.contains(&vm) {
                self.fenced.push(vm);
            }
        }
        if list.version > self.list.version {
            self.lease.carry_over();
            self.lease.add_list(&list);
            let old = std::mem::replace(&mut self.list, list);
            if !old.members.is_empty() {
                self.add_predecessors([&old]);
            }
            self.absences.clear();
            self.peers.values_mut().for_each(Peer::forget_answers);
            for vm in self.list.members.iter().filter(|vm| **vm != self.me) {
                let peer = self.peers.entry(vm.clone());
                peer.or_insert_with(|| Peer::new(now));
            }
            self.drop_unlisted_peers(now);
        }
        self.refresh(now);
    }

    /// Drops the state of VMs that are on no current list and sent no heartbeat for ten lease
    /// times, so that no promise to or by them still counts.
    fn drop_unlisted_peers(&mut self, now: Time) {
        let listed = self.peers();
        let retention = 10 * self.config.lease;
        self.peers
            .retain(|vm, peer| listed.contains(vm) || now.since(peer.heard_at) < retention);
    }

    /// Returns the VMs to send heartbeats to: those on the list, on unresolved predecessors, and
    /// VMs that sent heartbeats recently, which may know a predecessor that this VM does not.
    pub fn peers(&self) -> SmallVec<[VmId; 8]> {
        let mut peers: SmallVec<[VmId; 8]> = SmallVec::new();
        let lists = std::iter::once(&self.list).chain(&self.predecessors);
        let listed = lists.flat_map(|list| &list.members);
        let recency = 2 * self.config.lease;
        let recent = self.peers.iter().filter(|(_, peer)| {
            let heard = peer.sequence_heard > 0;
            heard && self.active_at.since(peer.heard_at) < recency
        });
        for vm in listed.chain(recent.map(|(vm, _)| vm)) {
            if *vm != self.me && !peers.contains(vm) {
                peers.push(vm.clone());
            }
        }
        // The iteration order of the map differs between processes; decisions must not.
        peers.sort_unstable();
        peers
    }

    /// Returns the next heartbeat for a peer and records `now` as the time at which it was sent.
    pub fn heartbeat_for(&mut self, now: Time, peer: &VmId) -> Heartbeat {
        self.refresh(now);
        let lease = self.config.lease;
        let entry = self.peers.entry(peer.clone());
        let entry = entry.or_insert_with(|| Peer::new(now));
        Heartbeat {
            sequence: entry.record_sent(now, lease),
            incarnation: self.incarnation,
            list_version: self.list.version,
        }
    }

    /// Records a peer's heartbeat and returns the answer, which may acknowledge the peer's lease.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        from: &VmId,
        heartbeat: &Heartbeat,
    ) -> Acknowledgement {
        self.refresh(now);
        let agrees = self.is_recovered() && heartbeat.list_version == self.list.version;
        let peer = self.peers.entry(from.clone());
        let peer = peer.or_insert_with(|| Peer::new(now));
        peer.record_heartbeat(now, heartbeat);
        self.refreshed_at = None;
        let resigned = peer.resigned == Some(heartbeat.incarnation);
        let granted = agrees && (now >= peer.voted_absent_until || resigned);
        if granted {
            peer.leased_until = now + self.config.lease;
            peer.leased_to = Some(heartbeat.incarnation);
        }
        let absence_votes = self.promise_absence_votes(now);
        assert!(
            !granted || resigned || !absence_votes.contains(from),
            "{from} is acknowledged and voted absent at the same time"
        );
        Acknowledgement {
            sequence: heartbeat.sequence,
            to_incarnation: heartbeat.incarnation,
            incarnation: self.incarnation,
            list_version: self.list.version,
            granted,
            recovering: !self.is_recovered(),
            predecessors: self.predecessors.clone(),
            resolved: self.resolved,
            absence_votes,
        }
    }

    /// Records a peer's answer to a heartbeat, if it is for this incarnation and list version.
    pub fn on_acknowledgement(&mut self, now: Time, from: &VmId, answer: &Acknowledgement) {
        self.refresh(now);
        if answer.to_incarnation != self.incarnation || answer.list_version != self.list.version {
            return;
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let Some(sent_at) = peer.sent_at(answer.sequence) else {
            return;
        };
        peer.record_answer(sent_at, answer, &self.config);
        self.refreshed_at = None;
        self.add_predecessors(&answer.predecessors);
        self.mark_resolved(answer.resolved);
        self.refresh(now);
    }

    /// Returns when the heartbeat that `answer` belongs to was sent. If the peer gives an age for a
    /// piece of information, that time less the age is a lower bound for the information's time,
    /// however late the answer arrives.
    pub fn heartbeat_sent_at(&self, from: &VmId, answer: &Acknowledgement) -> Option<Time> {
        let peer = self.peers.get(from)?;
        (answer.to_incarnation == self.incarnation).then(|| peer.sent_at(answer.sequence))?
    }

    /// Returns the owner of `key`, as far as this VM knows: the first VM in the rendezvous order
    /// that is not absent.
    pub fn owner_of(&self, now: Time, key: &str) -> Option<VmId> {
        let mut order = rendezvous_order(key, &self.list.members).into_iter();
        let skipped = |vm: &VmId| (self.resigned && *vm == self.me) || self.is_absent(now, vm);
        order.find(|vm| !skipped(vm)).cloned()
    }

    /// Returns this VM's ownership epoch for `key`, if it may act as its owner now.
    pub fn ownership_epoch(&mut self, now: Time, key: &str) -> Option<OwnershipEpoch> {
        self.refresh(now);
        self.ownership_epoch_of(now, key)
    }

    /// Gives up acting as owner for the rest of this incarnation, for a planned stop. The lease
    /// remains, so requests that run here end normally.
    pub fn resign(&mut self) {
        self.resigned = true;
    }

    /// Records that an incarnation of a peer has resigned. The peer is voted absent at once, so
    /// that its keys move to other owners before its lease ends.
    pub fn on_resigned(&mut self, now: Time, vm: &VmId, incarnation: Incarnation) {
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(now));
        if peer.resigned < Some(incarnation) {
            peer.resigned = Some(incarnation);
            self.refreshed_at = None;
        }
        self.refresh(now);
    }

    /// Returns the VMs on the list that a majority votes absent now.
    pub fn absent(&self, now: Time) -> SmallVec<[VmId; 2]> {
        let members = self.list.members.iter();
        members
            .filter(|vm| self.is_absent(now, vm))
            .cloned()
            .collect()
    }

    /// Returns the VMs on the list that sent no heartbeat for `silence`. This does not prove that
    /// they are down, but is a reason not to send callers there even before a majority votes them
    /// absent.
    pub fn silent(&self, now: Time, silence: Duration) -> SmallVec<[VmId; 2]> {
        let heard = |vm: &VmId| {
            let peer = self.peers.get(vm);
            peer.is_some_and(|peer| now.since(peer.heard_at) <= silence)
        };
        let members = self.list.members.iter();
        let silent = members.filter(|vm| **vm != self.me && !heard(vm));
        silent.cloned().collect()
    }

    /// Returns the version of the list that this VM uses.
    pub fn list_version(&self) -> Version {
        self.list.version
    }

    /// Returns the list that this VM uses, for peers that ask for a newer one.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Returns older lists whose majority is not yet known to have moved to a newer list.
    pub fn predecessors(&self) -> &[MemberList] {
        &self.predecessors
    }

    /// Returns the version of the newest list that is known to have been in force. VMs that are
    /// only on older lists may be stopped for good.
    pub fn resolved_version(&self) -> Version {
        self.resolved
    }

    /// Returns whether recovery has finished. Until then a restarted VM does not acknowledge
    /// others, since an earlier incarnation may have made promises that it does not know.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_finished()
    }

    /// Updates everything that depends on the time or on received messages.
    fn refresh(&mut self, now: Time) {
        if self.refreshed_at == Some(now) {
            return;
        }
        self.refreshed_at = Some(now);
        self.restart_suspicion_after_pause(now);
        self.finish_recovery(now);
        self.record_own_absence_votes(now);
        self.update_absences(now);
        self.update_lease(now);
    }

    /// Restarts the silence of all peers after a pause of this VM: while it was not running,
    /// it could not receive their heartbeats.
    fn restart_suspicion_after_pause(&mut self, now: Time) {
        if now.since(self.active_at) > self.config.suspicion / 2 {
            self.restart_silence(now);
        }
        self.active_at = self.active_at.max(now);
    }

    /// Counts the silence of all peers from `now` on.
    fn restart_silence(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at.max(now);
        }
    }

    /// Adds those of `lists` that are unresolved predecessors of the current list.
    fn add_predecessors<'a>(&mut self, lists: impl IntoIterator<Item = &'a MemberList>) {
        for list in lists {
            let is_unresolved = list.version >= self.resolved && list.version < self.list.version;
            let same_version = |known: &MemberList| known.version == list.version;
            if is_unresolved && !self.predecessors.iter().any(same_version) {
                self.predecessors.push(list.clone());
            }
        }
    }

    /// Records that the list `version` has been in force, and drops older predecessors: they can no
    /// longer be in force.
    fn mark_resolved(&mut self, version: Version) {
        self.resolved = self.resolved.max(version);
        let resolved = self.resolved;
        self.predecessors.retain(|list| list.version >= resolved);
    }
}
