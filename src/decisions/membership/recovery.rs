//! Recovery of a restarted VM, which keeps nothing of its earlier incarnation.
//!
//! The earlier incarnation may have acknowledged leases, voted VMs absent and shown list versions.
//! The first two lapse while the new incarnation is silent. A list version was shown to
//! others; it is relearned from VMs that remember.

use super::{MemberList, Membership, MembershipConfig};
use crate::units::{Time, VmId};

/// Progress of a recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    silent_until: Time,
    finished: bool,
}

impl Recovery {
    /// Starts the silence that outlasts all promises of an earlier incarnation.
    pub fn new(now: Time, config: &MembershipConfig) -> Self {
        Self {
            silent_until: now + config.lease + config.margin,
            finished: false,
        }
    }

    /// Returns whether recovery has finished.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}

impl Membership {
    /// Finishes recovery once it can.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        if !self.recovery.finished && self.can_recover(now) {
            self.recovery.finished = true;
            self.presume_heard(now);
        }
    }

    /// Returns whether the list and all known predecessors gave enough answers.
    pub(super) fn can_recover(&self, now: Time) -> bool {
        if now < self.recovery.silent_until || self.list.members.is_empty() {
            return false;
        }
        let mut lists = std::iter::once(&self.list).chain(&self.predecessors);
        lists.all(|list| self.remembers(now, list))
    }

    /// Returns whether enough VMs of a list answered heartbeats sent after the silence: a
    /// majority that has recovered, which shares a member with any majority that took part
    /// in a promise; or, when too few remember, every VM that is not fenced.
    fn remembers(&self, now: Time, list: &MemberList) -> bool {
        let answer = |vm: &VmId| {
            let evidence = self.peers.get(vm)?.evidence?;
            let after_silence = evidence.sent_at >= self.recovery.silent_until;
            let recent = now < evidence.sent_at + self.config.lease;
            (after_silence && recent).then_some(evidence)
        };
        let members = list.members.iter();
        let recovered = members.clone().filter_map(answer);
        if recovered.filter(|evidence| !evidence.recovering).count() >= list.majority() {
            return true;
        }
        let mut others = members.filter(|vm| **vm != self.me && !self.fenced.contains(vm));
        others.all(|vm| answer(vm).is_some())
    }
}
