//! Who holds a lease: leases that a majority of the VM list acknowledged.
//!
//! `docs/design.md`, 3.1 gives the rules and why they are safe. The parts: `peer` keeps what
//! was exchanged with one VM, `lease` counts majorities, `recovery` restores a restarted VM,
//! `absence` votes that a VM is absent, and `ownership` derives the right to act for a key.

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

/// Durations that leases are built from. All VMs of a fleet use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between heartbeats to a peer.
    pub heartbeat: Duration,
    /// How long an acknowledgement counts, from the time its heartbeat was sent.
    pub lease: Duration,
    /// Silence after which a peer may be voted absent.
    pub suspicion: Duration,
    /// Safety margin for clocks that run at slightly different speeds.
    pub margin: Duration,
    /// How long an absence vote counts.
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
    /// All VMs on it, live and leaving.
    pub members: SmallVec<[VmId; 8]>,
}

impl MemberList {
    /// Returns how many VMs any two of which sets must share a member.
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Asks a peer to acknowledge this VM's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Rises by one for each heartbeat to this peer.
    pub sequence: u64,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The list that the sender goes by.
    pub list_version: Version,
}

/// Answers a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The heartbeat's sequence.
    pub sequence: u64,
    /// The heartbeat's incarnation, so that a restarted sender ignores old answers.
    pub to_incarnation: Incarnation,
    /// The acknowledger's run.
    pub incarnation: Incarnation,
    /// The newest list that the acknowledger holds.
    pub list_version: Version,
    /// Whether the sender's lease is acknowledged.
    pub granted: bool,
    /// Whether the acknowledger is still recovering after a restart.
    pub recovering: bool,
    /// Older lists of which a majority is not yet known to have moved on.
    pub predecessors: Vec<MemberList>,
    /// The newest list that is known to have been in force; older ones can no longer be.
    pub resolved: Version,
    /// VMs that the acknowledger will not acknowledge for another `absence_vote_life`.
    pub absence_votes: SmallVec<[VmId; 2]>,
}

/// The right to act as owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipEpoch {
    /// Rises with each new epoch of this VM for the key.
    pub number: u64,
    /// Nothing that an earlier owner granted can be used from this time on.
    pub since: Time,
    /// The lease's end; the owner acts only before it.
    pub until: Time,
}

/// Lease state of one VM.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    me: VmId,
    incarnation: Incarnation,
    list: MemberList,
    predecessors: Vec<MemberList>,
    resolved: Version,
    fenced: SmallVec<[VmId; 2]>,
    peers: HashMap<VmId, Peer>,
    recovery: Recovery,
    lease: Lease,
    absences: HashMap<VmId, Absence>,
    epochs: HashMap<String, KeyOwnershipEpoch>,
    epoch_count: u64,
    active_at: Time,
    resigned: bool,
    /// Time of the last refresh, if nothing was heard since.
    refreshed_at: Option<Time>,
}

impl Membership {
    /// Starts without a list and without memory of earlier runs.
    pub fn new(config: MembershipConfig, me: VmId, incarnation: Incarnation, now: Time) -> Self {
        assert!(
            config.absence_vote_life <= config.lease,
            "a restarted VM is silent for one lease, which must outlast its absence votes"
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

    /// Takes a VM list from the platform or a peer. An older one than held is ignored.
    ///
    /// `fenced` are VMs that operators state to be stopped for good.
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
            self.lease.carry();
            self.lease.hold(&list);
            let old = std::mem::replace(&mut self.list, list);
            if !old.members.is_empty() {
                self.adopt([&old]);
            }
            self.absences.clear();
            self.peers.values_mut().for_each(Peer::forget_answers);
            for vm in self.list.members.iter().filter(|vm| **vm != self.me) {
                let peer = self.peers.entry(vm.clone());
                peer.or_insert_with(|| Peer::new(now));
            }
            self.forget_silent_peers(now);
        }
        self.refresh(now);
    }

    /// Drops VMs that are on no list any more and that no promise concerns.
    fn forget_silent_peers(&mut self, now: Time) {
        let listed = self.peers();
        let keep = 10 * self.config.lease;
        self.peers
            .retain(|vm, peer| listed.contains(vm) || now.since(peer.heard_at) < keep);
    }

    /// Returns the VMs that heartbeats go to: the list, unresolved predecessors, and VMs that
    /// sent heartbeats lately, which may know a predecessor that this VM does not.
    pub fn peers(&self) -> SmallVec<[VmId; 8]> {
        let mut peers: SmallVec<[VmId; 8]> = SmallVec::new();
        let lists = std::iter::once(&self.list).chain(&self.predecessors);
        let listed = lists.flat_map(|list| &list.members);
        let keep = 2 * self.config.lease;
        let lately = self.peers.iter().filter(|(_, peer)| {
            let heard = peer.sequence_heard > 0;
            heard && self.active_at.since(peer.heard_at) < keep
        });
        for vm in listed.chain(lately.map(|(vm, _)| vm)) {
            if *vm != self.me && !peers.contains(vm) {
                peers.push(vm.clone());
            }
        }
        // The map's order differs from run to run; decisions must not.
        peers.sort_unstable();
        peers
    }

    /// Makes the next heartbeat for a peer and notes when it was sent.
    pub fn heartbeat_for(&mut self, now: Time, peer: &VmId) -> Heartbeat {
        self.refresh(now);
        let lease = self.config.lease;
        let entry = self.peers.entry(peer.clone());
        let entry = entry.or_insert_with(|| Peer::new(now));
        Heartbeat {
            sequence: entry.note_sent(now, lease),
            incarnation: self.incarnation,
            list_version: self.list.version,
        }
    }

    /// Answers a peer's heartbeat.
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
        peer.note_heard(now, heartbeat);
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
            "a VM is acknowledged and voted absent at once"
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

    /// Notes a peer's answer.
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
        peer.note_answer(sent_at, answer, &self.config);
        self.refreshed_at = None;
        self.adopt(&answer.predecessors);
        self.resolve(answer.resolved);
        self.refresh(now);
    }

    /// Returns when the heartbeat that `answer` belongs to was sent. What a peer states with
    /// an age is no newer than that time less the age, however late the answer comes.
    pub fn heartbeat_sent_at(&self, from: &VmId, answer: &Acknowledgement) -> Option<Time> {
        let peer = self.peers.get(from)?;
        (answer.to_incarnation == self.incarnation).then(|| peer.sent_at(answer.sequence))?
    }

    /// Returns the VM that acts for `key`, as far as this VM knows.
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
    /// stays, so requests that run here end normally.
    pub fn resign(&mut self) {
        self.resigned = true;
    }

    /// Notes that an incarnation of a peer has resigned. It is voted absent at once, so that its
    /// keys move without waiting for its lease to lapse.
    pub fn on_resigned(&mut self, now: Time, vm: &VmId, incarnation: Incarnation) {
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(now));
        if peer.resigned < Some(incarnation) {
            peer.resigned = Some(incarnation);
            self.refreshed_at = None;
        }
        self.refresh(now);
    }

    /// Returns the VMs that a majority votes absent now.
    pub fn absent(&self, now: Time) -> SmallVec<[VmId; 2]> {
        let members = self.list.members.iter();
        members
            .filter(|vm| self.is_absent(now, vm))
            .cloned()
            .collect()
    }

    /// Returns the VMs that were not heard for `silence`. It proves nothing, but is a reason not
    /// to send callers there before a majority votes them absent.
    pub fn silent(&self, now: Time, silence: Duration) -> SmallVec<[VmId; 2]> {
        let heard = |vm: &VmId| {
            let peer = self.peers.get(vm);
            peer.is_some_and(|peer| now.since(peer.heard_at) <= silence)
        };
        let members = self.list.members.iter();
        let silent = members.filter(|vm| **vm != self.me && !heard(vm));
        silent.cloned().collect()
    }

    /// Returns the version of the list that this VM goes by.
    pub fn list_version(&self) -> Version {
        self.list.version
    }

    /// Returns the list that this VM goes by, for peers that ask for a newer one.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Returns older lists of which a majority is not yet known to have moved on.
    pub fn predecessors(&self) -> &[MemberList] {
        &self.predecessors
    }

    /// Returns the newest list that is known to have been in force. VMs that are only on
    /// older lists may be stopped for good.
    pub fn settled_version(&self) -> Version {
        self.resolved
    }

    /// Returns whether this VM acknowledges others, which it does not after a restart until
    /// it has relearned what an earlier incarnation may have promised.
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_finished()
    }

    /// Updates everything that depends on the time or on what was heard.
    fn refresh(&mut self, now: Time) {
        if self.refreshed_at == Some(now) {
            return;
        }
        self.refreshed_at = Some(now);
        self.restart_suspicion_after_pause(now);
        self.finish_recovery(now);
        self.note_own_absence_votes(now);
        self.update_absences(now);
        self.update_lease(now);
    }

    /// Silence proves nothing about peers while this VM itself was not running.
    fn restart_suspicion_after_pause(&mut self, now: Time) {
        if now.since(self.active_at) > self.config.suspicion / 2 {
            self.presume_heard(now);
        }
        self.active_at = self.active_at.max(now);
    }

    fn presume_heard(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at.max(now);
        }
    }

    /// Adds unresolved predecessors.
    fn adopt<'a>(&mut self, lists: impl IntoIterator<Item = &'a MemberList>) {
        for list in lists {
            let open = list.version >= self.resolved && list.version < self.list.version;
            let known = |held: &MemberList| held.version == list.version;
            if open && !self.predecessors.iter().any(known) {
                self.predecessors.push(list.clone());
            }
        }
    }

    /// Drops predecessors that a list known to have been in force excludes.
    fn resolve(&mut self, version: Version) {
        self.resolved = self.resolved.max(version);
        let resolved = self.resolved;
        self.predecessors.retain(|list| list.version >= resolved);
    }
}
