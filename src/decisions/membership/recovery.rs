//! Recovery of a restarted VM, which stores nothing of its earlier incarnations.
//!
//! An earlier incarnation may have acknowledged leases, voted VMs absent and reported list versions
//! to others. Acknowledgements and votes expire while the new incarnation gives none. List versions
//! are learned again from VMs that received them and have not restarted since.

use super::{MemberList, Membership, MembershipConfig};
use crate::units::{Time, VmId};

/// Progress of a recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Time before which this VM gives no acknowledgements or votes.
    silent_until: Time,
    finished: bool,
}

impl Recovery {
    /// Starts the time without acknowledgements or votes, which outlasts all promises of earlier
    /// incarnations.
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
    /// Finishes recovery if enough VMs have answered.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        if !self.recovery.finished && self.can_recover(now) {
            self.recovery.finished = true;
            self.restart_silence(now);
        }
    }

    /// Returns whether enough VMs of the list and of each known predecessor have answered.
    pub(super) fn can_recover(&self, now: Time) -> bool {
        if now < self.recovery.silent_until || self.list.members.is_empty() {
            return false;
        }
        let mut lists = std::iter::once(&self.list).chain(&self.predecessors);
        lists.all(|list| self.has_enough_answers(now, list))
    }

    /// Returns whether enough VMs of a list answered heartbeats sent after `silent_until`: either a
    /// majority that is not recovering, which shares a member with any majority that took part in a
    /// promise; or, if too few have recovered, every other VM that is not fenced.
    fn has_enough_answers(&self, now: Time, list: &MemberList) -> bool {
        let answer = |vm: &VmId| {
            let latest_answer = self.peers.get(vm)?.latest_answer?;
            let after_silence = latest_answer.sent_at >= self.recovery.silent_until;
            let recent = now < latest_answer.sent_at + self.config.lease;
            (after_silence && recent).then_some(latest_answer)
        };
        let members = list.members.iter();
        let recovered = members.clone().filter_map(answer);
        if recovered
            .filter(|latest_answer| !latest_answer.recovering)
            .count()
            >= list.majority()
        {
            return true;
        }
        let mut others = members.filter(|vm| **vm != self.me && !self.fenced.contains(vm));
        others.all(|vm| answer(vm).is_some())
    }
}
