//! Absence votes: time-limited votes that a VM is absent.
//!
//! A VM votes another VM absent only after the acknowledgement that it gave that VM has expired,
//! and does not acknowledge that VM until the vote has expired. So no VM holds its lease while a
//! majority votes it absent. The exception is a VM that resigned in a planned stop: it keeps its
//! lease for its own requests, but has promised not to act as owner again, and is voted absent at
//! once.

use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::Membership;
use super::lease::nth_latest;
use crate::units::{Time, VmId};

/// An uninterrupted time in which a majority votes a VM absent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Absence {
    /// When this VM first knew of the majority.
    pub since: Time,
    /// When the majority ends unless votes are renewed.
    pub until: Time,
}

impl Membership {
    /// Returns the VMs that this VM votes absent now, and stops acknowledging them until the votes
    /// have expired.
    pub(super) fn promise_absence_votes(&mut self, now: Time) -> SmallVec<[VmId; 2]> {
        if !self.is_recovered() {
            return SmallVec::new();
        }
        let config = self.config;
        let mut voted_absent = SmallVec::new();
        for vm in &self.list.members {
            let Some(peer) = self.peers.get_mut(vm).filter(|_| *vm != self.me) else {
                continue;
            };
            let silent = now.since(peer.heard_at) > config.suspicion;
            let lease_expired = now >= peer.leased_until + config.margin;
            // An incarnation that resigned never acts as owner again, so the vote need not wait
            // until its own lease has expired.
            let resigned =
                peer.has_resigned() && (lease_expired || peer.leased_to == peer.resigned);
            if resigned || (silent && lease_expired) {
                // The margin covers a clock of this VM that runs faster than the receiver's.
                peer.voted_absent_until = now + config.absence_vote_life + config.margin;
                voted_absent.push(vm.clone());
            }
        }
        voted_absent
    }

    /// Records this VM's own votes, which count like those received in messages.
    pub(super) fn record_own_absence_votes(&mut self, now: Time) {
        for vm in self.promise_absence_votes(now) {
            if let Some(peer) = self.peers.get_mut(&vm) {
                peer.own_absence_vote_until = now + self.config.absence_vote_life;
            }
        }
    }

    /// Updates since when and until when a majority votes each VM absent.
    pub(super) fn update_absences(&mut self, now: Time) {
        for vm in self.vms_voted_absent(now) {
            let until = self.absent_by_majority_until(&vm);
            if until <= now {
                continue;
            }
            let new_absence = Absence { since: now, until };
            let absence = self.absences.entry(vm).or_insert(new_absence);
            if absence.until <= now {
                *absence = new_absence;
            }
            absence.until = absence.until.max(until);
        }
    }

    /// Returns the VMs that at least one VM votes absent now.
    fn vms_voted_absent(&self, now: Time) -> BTreeSet<VmId> {
        let mut vms = BTreeSet::new();
        for (vm, peer) in &self.peers {
            if peer.own_absence_vote_until > now {
                vms.insert(vm.clone());
            }
            let valid = peer.absence_votes.iter().filter(|(_, until)| **until > now);
            vms.extend(valid.map(|(vm, _)| vm.clone()));
        }
        vms
    }

    /// Returns the time until which a majority of the list votes `target` absent.
    fn absent_by_majority_until(&self, target: &VmId) -> Time {
        let vote_of = |voter: &VmId| {
            if *voter == self.me {
                return self
                    .peers
                    .get(target)
                    .map(|peer| peer.own_absence_vote_until);
            }
            self.peers.get(voter)?.absence_votes.get(target).copied()
        };
        let votes = self.list.members.iter().filter_map(vote_of);
        nth_latest(votes, self.list.majority())
    }

    /// Returns since when and until when a majority votes `vm` absent, if it does now.
    pub(super) fn absence(&self, now: Time, vm: &VmId) -> Option<Absence> {
        let absence = self.absences.get(vm).copied();
        absence.filter(|absence| now < absence.until)
    }

    /// Returns whether a majority votes `vm` absent now.
    pub(super) fn is_absent(&self, now: Time, vm: &VmId) -> bool {
        self.absence(now, vm).is_some()
    }
}
