//! Whether this VM's state of the platform's store is behind that of other VMs, and which VMs to ask for their
//! state then.
//!
//! Under a series of changes some other VM is nearly always ahead by a moment, since watches pause
//! after a change. Only a report that stays unreached shows that this VM's watch is late.

use std::net::Ipv4Addr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::units::{StorePosition, Time};

/// How far a VM has followed the store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StoreProgress {
    /// Position in the history of the store.
    pub position: StorePosition,
    /// Version of the configuration in force; 0 if there is none. A store that came back from an older copy may
    /// lack a version that is in force.
    pub configuration_version: u64,
}

impl StoreProgress {
    /// Returns whether this VM knows something that a VM with `other` does not.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.position > other.position || self.configuration_version > other.configuration_version
    }
}

impl<T: Into<StorePosition>> From<T> for StoreProgress {
    fn from(position: T) -> Self {
        Self {
            position: position.into(),
            configuration_version: 0,
        }
    }
}

/// How far another VM has followed the store, as it reported.
#[derive(Debug, Clone, Copy)]
struct Report {
    vm: Ipv4Addr,
    progress: StoreProgress,
    at: Time,
}

/// Number of VMs that are asked for their state together: some of them may not answer.
const MAX_ASKED: usize = 3;

/// Reports of what this VM has not reached.
#[derive(Debug, Default)]
pub struct RevisionLag {
    /// The report since which this VM is behind.
    oldest: Option<Report>,
    newest: Option<Report>,
    /// The last reports of other VMs, the last one first.
    others: SmallVec<[Report; MAX_ASKED]>,
}

impl RevisionLag {
    /// Records that `vm` has made `progress`. Returns whether this VM has not.
    pub fn on_report(
        &mut self,
        now: Time,
        own: impl Into<StoreProgress>,
        vm: Ipv4Addr,
        progress: impl Into<StoreProgress>,
    ) -> bool {
        let (own, progress) = (own.into(), progress.into());
        self.drop_reached(&own);
        if !progress.is_ahead_of(&own) {
            return false;
        }
        let report = Report {
            vm,
            progress,
            at: now,
        };
        self.oldest.get_or_insert(report);
        let is_newest = |newest: Report| progress.is_ahead_of(&newest.progress);
        let other = if self.newest.is_none_or(is_newest) {
            self.newest.replace(report)
        } else {
            Some(report)
        };
        self.others.retain(|known| known.vm != vm);
        let newest_vm = self.newest.map(|newest| newest.vm);
        if let Some(other) = other.filter(|other| Some(other.vm) != newest_vm) {
            self.others.insert(0, other);
            self.others.truncate(MAX_ASKED - 1);
        }
        true
    }

    /// Returns when this VM has been behind for `max_lag`; `None` while it is not behind.
    pub fn due_at(&mut self, own: impl Into<StoreProgress>, max_lag: Duration) -> Option<Time> {
        self.drop_reached(&own.into());
        self.oldest.map(|report| report.at + max_lag)
    }

    /// Returns whether the newest report is of a newer configuration.
    pub fn lacks_configuration(&self, own: &StoreProgress) -> bool {
        self.newest
            .is_some_and(|newest| newest.progress.configuration_version > own.configuration_version)
    }

    /// Returns the VM with the newest report and after it some that reported lately, and removes their reports: if none
    /// of them answers, the next reports name the VMs to ask.
    pub fn take_newest(&mut self) -> SmallVec<[Ipv4Addr; MAX_ASKED]> {
        self.oldest = None;
        let reports = self.newest.take().into_iter().chain(self.others.drain(..));
        reports.map(|report| report.vm).collect()
    }

    fn drop_reached(&mut self, own: &StoreProgress) {
        let is_unreached = |report: &Report| report.progress.is_ahead_of(own);
        self.newest = self.newest.filter(is_unreached);
        self.others.retain(|report| is_unreached(report));
        // Reports between the two are not kept: a watch that reaches one of them is not stuck.
        self.oldest = self.oldest.filter(is_unreached).or(self.newest);
    }
}
