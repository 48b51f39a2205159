//! Whether this VM's revision of the platform's store is behind that of other VMs, and which VM to
//! ask for its state then.
//!
//! Under a series of changes some other VM is nearly always ahead by a moment, since watches pause
//! after a change. Only a revision that stays unreached shows that this VM's watch is late.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::units::Time;

/// A revision that another VM has reached.
#[derive(Debug, Clone, Copy)]
struct Report {
    vm: Ipv4Addr,
    revision: u64,
    at: Time,
}

/// Reports of revisions that this VM has not reached.
#[derive(Debug, Default)]
pub struct RevisionLag {
    /// The report since which this VM is behind.
    oldest: Option<Report>,
    newest: Option<Report>,
}

impl RevisionLag {
    /// Records that `vm` has reached `revision`. Returns whether this VM has not.
    pub fn on_report(&mut self, now: Time, own_revision: u64, vm: Ipv4Addr, revision: u64) -> bool {
        self.drop_reached(own_revision);
        if revision <= own_revision {
            return false;
        }
        let report = Report {
            vm,
            revision,
            at: now,
        };
        self.oldest.get_or_insert(report);
        if self.newest.is_none_or(|newest| revision > newest.revision) {
            self.newest = Some(report);
        }
        true
    }

    /// Returns when this VM has been behind for `max_lag`; `None` while it is not behind.
    pub fn due_at(&mut self, own_revision: u64, max_lag: Duration) -> Option<Time> {
        self.drop_reached(own_revision);
        self.oldest.map(|report| report.at + max_lag)
    }

    /// Returns the VM with the newest revision, and removes its report: if it does not answer,
    /// the next report names the VM to ask.
    pub fn take_newest(&mut self) -> Option<Ipv4Addr> {
        self.oldest = None;
        self.newest.take().map(|report| report.vm)
    }

    fn drop_reached(&mut self, own_revision: u64) {
        let is_unreached = |report: &Report| report.revision > own_revision;
        self.newest = self.newest.filter(is_unreached);
        // Reports between the two are not kept: a watch that reaches one of them is not stuck.
        self.oldest = self.oldest.filter(is_unreached).or(self.newest);
    }
}
