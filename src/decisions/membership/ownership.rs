//! Ownership epochs: since when and until when this VM may act as owner of a key.
//!
//! An ownership epoch is derived from the lease, the lists and the absences whenever it is asked
//! for, so a key that nobody asked about for a while is judged the same. Each interruption moves
//! the start forward, and a later start is a new epoch.

use smallvec::SmallVec;

use super::{Membership, OwnershipEpoch};
use crate::decisions::rendezvous::rendezvous_order;
use crate::units::{Time, Version, VmId};

/// What is kept about one key.
#[derive(Debug, Default)]
pub(super) struct KeyOwnershipEpoch {
    number: u64,
    since: Time,
    /// When the epoch was last handed out.
    acted_at: Time,
    ranks: Ranks,
}

/// Ranks of a key, which cost hashes and change only with the lists.
#[derive(Debug, Default, Clone)]
struct Ranks {
    list: Version,
    oldest: Version,
    list_count: usize,
    /// VMs before this one in the current list; `None` when it is not on the list.
    earlier: Option<SmallVec<[VmId; 2]>>,
    /// The first list of the lease from which on this VM comes first in all.
    first_since: usize,
}

impl Membership {
    pub(super) fn ownership_epoch_of(&mut self, now: Time, key: &str) -> Option<OwnershipEpoch> {
        let mut until = self.lease_until(now);
        if until <= now || self.resigned {
            return None;
        }
        let mut record = self.epochs.remove(key).unwrap_or_default();
        self.update_ranks(key, &mut record.ranks);
        let start = self.start_of(now, &record.ranks, &mut until);
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

    /// Returns when an ownership epoch by these ranks starts, and shortens `until` to the absence
    /// of the VMs before this one.
    fn start_of(&self, now: Time, ranks: &Ranks, until: &mut Time) -> Option<Time> {
        let earlier = ranks.earlier.as_ref()?;
        let lists = self.lease.lists.get(ranks.first_since..)?;
        let leased_at = lists.iter().find_map(|entry| entry.leased_at)?;
        let takeover = self.config.lease + self.config.margin;
        let mut start = self.lease.since.max(leased_at + takeover);
        for vm in earlier {
            let absence = self.absence(now, vm)?;
            start = start.max(absence.since);
            *until = absence.until.min(*until);
        }
        Some(start)
    }

    fn update_ranks(&self, key: &str, ranks: &mut Ranks) {
        let lists = &self.lease.lists;
        let oldest = lists.first().map(|entry| entry.list.version);
        let oldest = oldest.unwrap_or_default();
        let same_lists = ranks.oldest == oldest && ranks.list_count == lists.len();
        if ranks.list == self.list.version && same_lists {
            return;
        }
        let order = rendezvous_order(key, &self.list.members);
        let rank = order.iter().position(|vm| **vm == self.me);
        let earlier = |rank| order[..rank].iter().map(|vm| (*vm).clone()).collect();
        let is_first = |index: &usize| {
            let order = rendezvous_order(key, &lists[*index].list.members);
            order.first().is_some_and(|vm| **vm == self.me)
        };
        let current = lists.len().saturating_sub(1);
        let first_in = (0..lists.len()).rev().take_while(is_first).last();
        *ranks = Ranks {
            list: self.list.version,
            oldest,
            list_count: lists.len(),
            earlier: rank.map(earlier),
            first_since: first_in.unwrap_or(current),
        };
    }
}
