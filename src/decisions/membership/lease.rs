//! This VM's lease, which majorities of its list and of each unresolved predecessor acknowledge.

use smallvec::SmallVec;

use super::{MemberList, Membership};
use crate::units::{Time, VmId};

/// Maximum number of lists stored for a lease. They show which keys had the same owner under
/// several list versions.
const MAX_LEASE_LISTS: usize = 64;

/// A list that this VM used or received during the current lease.
#[derive(Debug, Clone)]
pub(super) struct LeaseList {
    /// The list of VMs.
    pub list: MemberList,
    /// When this VM first held its lease under this list; `None` if it has not.
    pub leased_at: Option<Time>,
}

/// The lease and the lists under which this VM held it without a gap.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// End of the lease under the lists before the current one.
    carried_until: Time,
    /// Last known end of the lease.
    until: Time,
    /// When the lease began, after the last gap longer than the margin.
    pub since: Time,
    /// Lists since the lease began, in order of version; the current one is last.
    pub lists: Vec<LeaseList>,
}

impl Lease {
    /// Keeps the lease across a change of list until the lease ends: acknowledgements given under
    /// the old list remain promises.
    pub fn carry_over(&mut self) {
        self.carried_until = self.until;
    }

    /// Adds the list that this VM uses from now on, and drops the oldest if there are too many.
    pub fn add_list(&mut self, list: &MemberList) {
        self.lists.push(LeaseList {
            list: list.clone(),
            leased_at: None,
        });
        if self.lists.len() > MAX_LEASE_LISTS {
            self.lists.remove(0);
        }
    }

    /// Moves the end of the lease to `until`. After a gap longer than `margin` a new lease begins,
    /// and all lists but the current one are dropped.
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
    /// Updates the end of the lease. Once this VM first holds its lease under a list, older lists
    /// are resolved.
    pub(super) fn update_lease(&mut self, now: Time) {
        let until = self.acknowledged_until(now);
        if until <= now {
            return;
        }
        self.lease.extend(now, until, self.config.margin);
        assert!(
            self.lease.until <= now + self.config.lease,
            "the lease ends more than a lease time after now, so later than its acknowledgements"
        );
        let Some(current) = self.lease.lists.last() else {
            return;
        };
        if current.leased_at.is_none() {
            self.record_first_lease(now);
        }
    }

    /// Records that this VM now holds its lease under the current list for the first time, and adds
    /// predecessors that it received during this lease.
    fn record_first_lease(&mut self, now: Time) {
        let oldest = self.lease.lists[0].list.version;
        for list in &self.predecessors {
            let same_version = |entry: &LeaseList| entry.list.version == list.version;
            if list.version > oldest && !self.lease.lists.iter().any(same_version) {
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
        self.mark_resolved(self.list.version);
    }

    /// Returns until when this VM holds its lease, under the current list or earlier ones. The time
    /// is not after `now` if this VM holds no lease.
    pub fn lease_until(&self, now: Time) -> Time {
        self.acknowledged_until(now).max(self.lease.carried_until)
    }

    /// Returns until when majorities of the current list and of each predecessor acknowledge the
    /// lease.
    fn acknowledged_until(&self, now: Time) -> Time {
        // A VM that is alone on its list receives no message that would make it finish its
        // recovery.
        let recovered = self.is_recovered() || self.can_recover(now);
        if !recovered || !self.list.members.contains(&self.me) {
            return Time::ZERO;
        }
        let by_list = nth_latest(
            self.granted_until_times(now, &self.list),
            self.list.majority(),
        );
        let older = self.predecessors.iter();
        let by_older = older.map(|list| self.superseded_until(now, list));
        by_older.fold(by_list, Time::min)
    }

    /// Returns until when a majority of an older list is known to use the current list. Fenced VMs
    /// count as having moved to it; what they knew is lost, so then all others must have moved.
    fn superseded_until(&self, now: Time, list: &MemberList) -> Time {
        let by_majority = nth_latest(self.granted_until_times(now, list), list.majority());
        let fenced = list.members.iter().filter(|vm| self.fenced.contains(vm));
        let others = list.members.len() - fenced.count();
        if others == list.members.len() {
            return by_majority;
        }
        let by_others = match others {
            0 => now + self.config.lease,
            _ => nth_latest(self.granted_until_times(now, list), others),
        };
        by_majority.max(by_others)
    }

    /// Returns for each VM of `list` until when it acknowledges this VM's lease.
    fn granted_until_times(&self, now: Time, list: &MemberList) -> impl Iterator<Item = Time> {
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
