//! Ownership epochs: since when and until when this VM may act as owner of a key.
//!
//! An ownership epoch is computed from the lease, the lists and the absences on each query, so the
//! result does not depend on how often a key is queried. Each interruption moves the start forward,
//! and a later start is a new epoch.

use smallvec::SmallVec;

use super::{Membership, OwnershipEpoch};
use crate::decisions::rendezvous::rendezvous_order;
use crate::units::{Time, Version, VmId};

/// The newest ownership epoch of one key, and the cached ranks of the key.
#[derive(Debug, Default)]
pub(super) struct KeyOwnershipEpoch {
    number: u64,
    since: Time,
    /// Latest time at which a query returned the epoch.
    acted_at: Time,
    ranks: Ranks,
}

/// Ranks of VMs for a key. They are cached because computing them takes a hash per VM, and change
/// only with the lists.
#[derive(Debug, Default, Clone)]
struct Ranks {
    /// Version of the current list, for which the ranks were computed.
    current_version: Version,
    /// Version of the oldest list of the lease.
    oldest_version: Version,
    list_count: usize,
    /// VMs before this one in the key's order of the current list; `None` if this VM is not on it.
    preceding_vms: Option<SmallVec<[VmId; 2]>>,
    /// Index of the oldest list of the lease from which on this VM comes first in every list; that
    /// of the current list if this VM does not come first there.
    first_since_index: usize,
}

impl Membership {
    /// Returns this VM's ownership epoch for `key`, if it may act as its owner now.
    pub(super) fn ownership_epoch_of(&mut self, now: Time, key: &str) -> Option<OwnershipEpoch> {
        let mut until = self.lease_until(now);
        if until <= now || self.resigned {
            return None;
        }
        let mut record = self.epochs.remove(key).unwrap_or_default();
        self.update_ranks(key, &mut record.ranks);
        let start = self.epoch_start(now, &record.ranks, &mut until);
        let epoch = start.and_then(|start| {
            if start > record.since || record.number == 0 {
                self.epoch_count += 1;
                record.number = self.epoch_count;
                record.since = start.max(record.acted_at);
            }
            (now >= record.since).then_some(OwnershipEpoch {
                number: record.number,
                since: record.since,
                until,
            })
        });
        if let Some(epoch) = epoch {
            assert!(epoch.since <= now && now < epoch.until);
            record.acted_at = now;
        }
        self.epochs.insert(key.to_owned(), record);
        epoch
    }

    /// Returns when an ownership epoch with these ranks starts, or `None` if a VM before this one
    /// is not absent. Shortens `until` to the end of the absences of the VMs before this one.
    fn epoch_start(&self, now: Time, ranks: &Ranks, until: &mut Time) -> Option<Time> {
        let preceding_vms = ranks.preceding_vms.as_ref()?;
        let lists = self.lease.lists.get(ranks.first_since_index..)?;
        let leased_at = lists.iter().find_map(|entry| entry.leased_at)?;
        let takeover = self.config.lease + self.config.margin;
        let mut start = self.lease.since.max(leased_at + takeover);
        for vm in preceding_vms {
            let absence = self.absence(now, vm)?;
            start = start.max(absence.since);
            *until = absence.until.min(*until);
        }
        Some(start)
    }

    /// Recomputes the ranks of `key` if the lists have changed.
    fn update_ranks(&self, key: &str, ranks: &mut Ranks) {
        let lists = &self.lease.lists;
        let oldest_version = lists.first().map(|entry| entry.list.version);
        let oldest_version = oldest_version.unwrap_or_default();
        let same_lists = ranks.oldest_version == oldest_version && ranks.list_count == lists.len();
        if ranks.current_version == self.list.version && same_lists {
            return;
        }
        let order = rendezvous_order(key, &self.list.members);
        let rank = order.iter().position(|vm| **vm == self.me);
        let preceding_vms = |rank| order[..rank].iter().map(|vm| (*vm).clone()).collect();
        let is_first = |index: &usize| {
            let order = rendezvous_order(key, &lists[*index].list.members);
            order.first().is_some_and(|vm| **vm == self.me)
        };
        let current = lists.len().saturating_sub(1);
        let first_in = (0..lists.len()).rev().take_while(is_first).last();
        *ranks = Ranks {
            current_version: self.list.version,
            oldest_version,
            list_count: lists.len(),
            preceding_vms: rank.map(preceding_vms),
            first_since_index: first_in.unwrap_or(current),
        };
    }
}
