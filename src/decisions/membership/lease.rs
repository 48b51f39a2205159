//! This VM's lease: majorities of the list and of every unresolved predecessor.

use smallvec::SmallVec;

use super::{MemberList, Membership};
use crate::units::{Time, VmId};

/// Lists remembered for keys that keep their owner across versions.
const MAX_LEASE_LISTS: usize = 64;

/// A list that this VM held or learned of during the current lease.
#[derive(Debug, Clone)]
pub(super) struct LeaseList {
    /// The list.
    pub list: MemberList,
    /// When this VM first held its lease by it.
    pub leased_at: Option<Time>,
}

/// The lease and the lists that it ran through without a gap.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// End of the lease under the list before the current one.
    carried_until: Time,
    /// Last known end of the lease.
    until: Time,
    /// When the lease began, after the last gap longer than the margin.
    pub since: Time,
    /// Lists in order of version since then; the current one is last.
    pub lists: Vec<LeaseList>,
}

impl Lease {
    /// Keeps the lease across a change of list until it lapses: acknowledgements that were
    /// given under the old list stay promises.
    pub fn carry(&mut self) {
        self.carried_until = self.until;
    }

    /// Notes the list that this VM goes by from now on.
    pub fn hold(&mut self, list: &MemberList) {
        self.lists.push(LeaseList {
            list: list.clone(),
            leased_at: None,
        });
        if self.lists.len() > MAX_LEASE_LISTS {
            self.lists.remove(0);
        }
    }

    fn extend(&mut self, now: Time, until: Time, margin: std::time::Duration) {
        if until <= self.until.max(now) {
            return;
        }
        if now.since(self.until) > margin {
            self.since = now;
            self.lists.drain(..self.lists.len() - 1);
        }
        self.until = until;
    }
}

/// Returns the `nth` latest of some times, counted from one; zero when there are fewer.
pub(super) fn nth_latest(times: impl Iterator<Item = Time>, nth: usize) -> Time {
    let mut times: SmallVec<[Time; 24]> = times.collect();
    times.sort_unstable_by(|left, right| right.cmp(left));
    times.get(nth - 1).copied().unwrap_or_default()
}

impl Membership {
    /// Follows the lease; the first lease by a list settles all older lists.
    pub(super) fn update_lease(&mut self, now: Time) {
        let until = self.acknowledged_until(now);
        if until <= now {
            return;
        }
        self.lease.extend(now, until, self.config.margin);
        assert!(
            self.lease.until <= now + self.config.lease,
            "a lease ends later than its acknowledgements"
        );
        let Some(current) = self.lease.lists.last() else {
            return;
        };
        if current.leased_at.is_none() {
            self.note_first_lease(now);
        }
    }

    fn note_first_lease(&mut self, now: Time) {
        let oldest = self.lease.lists[0].list.version;
        for list in &self.predecessors {
            let known = |entry: &LeaseList| entry.list.version == list.version;
            if list.version > oldest && !self.lease.lists.iter().any(known) {
                let list = list.clone();
                let leased_at = None;
                self.lease.lists.push(LeaseList { list, leased_at });
            }
        }
        self.lease.lists.sort_by_key(|entry| entry.list.version);
        if let Some(current) = self.lease.lists.last_mut() {
            assert_eq!(current.list.version, self.list.version);
            current.leased_at = Some(now);
        }
        self.resolve(self.list.version);
    }

    /// Returns until when this VM holds its lease, by the current list or the one before; not
    /// after `now` when it holds none.
    pub fn lease_until(&self, now: Time) -> Time {
        self.acknowledged_until(now).max(self.lease.carried_until)
    }

    fn acknowledged_until(&self, now: Time) -> Time {
        // A VM alone on its list hears nothing that would prompt it to finish its recovery.
        let recovered = self.is_recovered() || self.can_recover(now);
        if !recovered || !self.list.members.contains(&self.me) {
            return Time::ZERO;
        }
        let by_list = nth_latest(self.grants(now, &self.list), self.list.majority());
        let older = self.predecessors.iter();
        let by_older = older.map(|list| self.moved_until(now, list));
        by_older.fold(by_list, Time::min)
    }

    /// Returns until when a majority of an older list is known to have left it. Fenced VMs
    /// count as having left; what they knew is lost, so then all others must have left.
    fn moved_until(&self, now: Time, list: &MemberList) -> Time {
        let by_majority = nth_latest(self.grants(now, list), list.majority());
        let fenced = list.members.iter().filter(|vm| self.fenced.contains(vm));
        let others = list.members.len() - fenced.count();
        if others == list.members.len() {
            return by_majority;
        }
        let by_others = match others {
            0 => now + self.config.lease,
            _ => nth_latest(self.grants(now, list), others),
        };
        by_majority.max(by_others)
    }

    fn grants(&self, now: Time, list: &MemberList) -> impl Iterator<Item = Time> {
        let granted_until = move |vm: &VmId| {
            if *vm == self.me {
                return now + self.config.lease;
            }
            let peer = self.peers.get(vm);
            peer.map_or(Time::ZERO, |peer| peer.granted_until)
        };
        let members: SmallVec<[Time; 24]> = list.members.iter().map(granted_until).collect();
        members.into_iter()
    }
}
