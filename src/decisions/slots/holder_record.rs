//! The allocator's record of one holder: what that VM may have running at an endpoint, as far
//! as its reports and grants show.

use smallvec::SmallVec;

use crate::blackboard::SlotDemand;
use crate::decisions::slots::{SlotReport, SlotsConfig};
use crate::units::{Incarnation, Time};

/// Maximum number of grants recorded one by one. Older grants are merged into one with the
/// larger number of slots, so that a merge never counts fewer slots than were granted.
const MAX_ISSUED_GRANTS: usize = 32;

/// A grant that its holder may still use, or several merged ones.
#[derive(Debug, Clone, Copy)]
struct IssuedGrant {
    /// Sequence of the report that the grant answers.
    sequence: u64,
    slots: u32,
    /// Time of issue; for merged grants, no later than when the first of them was issued.
    issued_at: Time,
    valid_until: Time,
}

/// The allocator's record of one holder's reports and grants at one endpoint.
#[derive(Debug)]
pub(super) struct HolderRecord {
    pub(super) incarnation: Incarnation,
    /// Sequence of the newest report; zero before the first.
    pub(super) sequence: u64,
    /// Demand in the newest report.
    pub(super) demand: SlotDemand,
    /// Time on the allocator's clock after which the newest report was surely sent.
    pub(super) sent_after: Time,
    /// Position in the rotation for scarce slots: the number of the holder's last grant with at
    /// least one slot. The holder with the lowest number is next.
    pub(super) last_served: u64,
    /// Sequence of the newest report that was answered.
    pub(super) answered_sequence: u64,
    /// Slots that the newest answer granted.
    pub(super) granted_slots: u32,
    pub(super) recalled_at: Time,
    /// Running total of completed attempts in the newest report that the ramp counts; `None`
    /// before the first such report.
    completed_total: Option<u64>,
    issued: SmallVec<[IssuedGrant; 8]>,
    /// Time from which no grant issued so far is usable, including those of earlier allocators.
    grants_lapse_at: Time,
    /// When the newest report arrived, or when the record began.
    reported_at: Time,
    /// Upper bound of the holder's running requests, from load reports that were read after all
    /// grants had lapsed.
    load_bound: Option<u32>,
    /// Reports sent before this time do not bound the holder's work, because grants of an
    /// earlier allocator may have been in use.
    conclusive_from: Time,
    /// Time from which no earlier allocator issues grants. A report that was sent later and
    /// excludes all grants but those in this record makes all reports conclusive at once.
    sole_allocator_from: Time,
    /// Sequence of the first report in this record. Grants that answer earlier messages were
    /// issued before the record began.
    first_sequence: Option<u64>,
    /// Whether the newest report excludes the use of grants issued before the record began.
    excludes_earlier_grants: bool,
}

impl HolderRecord {
    pub(super) fn new(now: Time, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            demand: SlotDemand::default(),
            sent_after: Time::ZERO,
            last_served: 0,
            answered_sequence: 0,
            granted_slots: 0,
            recalled_at: Time::ZERO,
            completed_total: None,
            issued: SmallVec::new(),
            grants_lapse_at: now,
            reported_at: now,
            load_bound: None,
            conclusive_from: Time::ZERO,
            sole_allocator_from: Time::ZERO,
            first_sequence: None,
            excludes_earlier_grants: false,
        }
    }

    /// Continues the record with the VM's next incarnation. The work of the former incarnation
    /// ended with its connections. The times learned from the former one stay valid, because the
    /// new incarnation started later.
    pub(super) fn restart(&mut self, now: Time, incarnation: Incarnation) {
        *self = Self {
            sent_after: self.sent_after,
            last_served: self.last_served,
            grants_lapse_at: self.grants_lapse_at,
            conclusive_from: self.conclusive_from,
            sole_allocator_from: self.sole_allocator_from,
            ..Self::new(now, incarnation)
        };
    }

    /// Assumes any number of running requests until the VM sends a report after the grants of
    /// earlier allocators have lapsed (`earlier_grants_lapse_at`), or reports that it uses none of
    /// them. `since` is the start of the ownership epoch of the allocator's VM.
    pub(super) fn assume_earlier_grants(&mut self, earlier_grants_lapse_at: Time, since: Time) {
        self.conclusive_from = earlier_grants_lapse_at;
        self.sole_allocator_from = since;
        self.grants_lapse_at = self.grants_lapse_at.max(earlier_grants_lapse_at);
        self.load_bound = None;
    }

    /// Records a report, unless a newer one has arrived already. Returns whether it was recorded.
    pub(super) fn on_report(&mut self, now: Time, report: &SlotReport) -> bool {
        if report.sequence <= self.sequence {
            return false;
        }
        let applied = self
            .issued
            .iter()
            .find(|issued| issued.sequence == report.applied);
        if let Some(applied) = applied {
            self.sent_after = self.sent_after.max(applied.issued_at);
        }
        self.issued
            .retain(|issued| issued.sequence >= report.released_before);
        if report.released_before > self.answered_sequence {
            self.granted_slots = 0;
        }
        let first_sequence = *self.first_sequence.get_or_insert(report.sequence);
        self.excludes_earlier_grants = report.released_before >= first_sequence;
        if self.excludes_earlier_grants && self.has_report_since(self.sole_allocator_from) {
            self.conclusive_from = Time::ZERO;
        }
        self.sequence = report.sequence;
        self.demand = report.demand;
        self.reported_at = now;
        self.load_bound = None;
        true
    }

    /// Records that the answer to the newest report grants `slots`.
    pub(super) fn issue(&mut self, now: Time, slots: u32, config: &SlotsConfig) {
        let valid_until = now + config.grant_life;
        self.grants_lapse_at = self.grants_lapse_at.max(valid_until);
        self.load_bound = None;
        if let Some(last) = self.issued.last_mut()
            && last.sequence == self.sequence
        {
            last.slots = last.slots.max(slots);
            last.valid_until = valid_until;
            return;
        }
        if self.issued.len() >= MAX_ISSUED_GRANTS {
            let oldest = self.issued.remove(0);
            let second = &mut self.issued[0];
            second.slots = second.slots.max(oldest.slots);
            second.issued_at = oldest.issued_at;
        }
        self.issued.push(IssuedGrant {
            sequence: self.sequence,
            slots,
            issued_at: now,
            valid_until,
        });
    }

    /// Returns how many attempts completed since the previous report. Only reports that were
    /// sent after the cold sign count, so that earlier answers do not speed up the ramp.
    pub(super) fn newly_completed(&mut self, total: u64, cold_at: Time) -> u32 {
        if !self.has_report_since(cold_at) {
            return 0;
        }
        let before = self.completed_total.replace(total).unwrap_or(total);
        u32::try_from(total.saturating_sub(before)).unwrap_or(u32::MAX)
    }

    /// Restarts the count of completed attempts for a new ramp.
    pub(super) fn on_cold(&mut self) {
        self.completed_total = None;
    }

    /// Lowers the bound of the VM's work to the endpoint's `busy` requests, if the load report
    /// describes the endpoint after all grants had lapsed.
    pub(super) fn on_load(&mut self, read_at: Time, busy: u32, config: &SlotsConfig) {
        if read_at >= self.grants_lapse_at + config.load_lag {
            self.load_bound = Some(
                self.load_bound
                    .map_or(busy, |load_bound| load_bound.min(busy)),
            );
        }
    }

    /// Returns the maximum number of requests that the VM can have running from now on without
    /// a new grant.
    pub(super) fn max_running(&self, now: Time, config: &SlotsConfig) -> u32 {
        if now >= self.grants_lapse_at.max(self.reported_at) + config.request_life {
            return 0;
        }
        let granted = self.issued.iter().map(|issued| issued.slots).max();
        let reported_or_granted = self.demand.in_flight.max(granted.unwrap_or(0));
        let bound = if self.may_use_earlier_grants() {
            u32::MAX
        } else {
            reported_or_granted
        };
        self.load_bound
            .map_or(bound, |load_bound| bound.min(load_bound))
    }

    /// Returns whether the VM has reported within the last `grant_life`. The slots of a silent VM
    /// stay reserved, but it gets no part of a division, because its last reported demand would
    /// otherwise keep slots from all other VMs.
    pub(super) fn has_reported_recently(&self, now: Time, config: &SlotsConfig) -> bool {
        now < self.reported_at + config.grant_life
    }

    /// Returns whether the VM can use more slots than it was granted. A VM without slots always
    /// can: it needs its share to start a request without asking first.
    pub(super) fn wants_more(&self) -> bool {
        self.granted_slots == 0 || self.wanted() > self.granted_slots
    }

    /// Returns the number of slots that the VM could use: its running and waiting requests.
    pub(super) fn wanted(&self) -> u32 {
        self.demand.in_flight.saturating_add(self.demand.waiting)
    }

    /// Returns whether the VM may be using grants of an earlier allocator, or running work that
    /// was started under them, that its reports do not bound.
    pub(super) fn may_use_earlier_grants(&self) -> bool {
        !self.has_report_since(self.conclusive_from)
    }

    /// Returns whether the VM may still use a valid grant of an earlier allocator, which an
    /// answer would replace needlessly.
    pub(super) fn has_usable_earlier_grant(&self, now: Time) -> bool {
        now < self.conclusive_from && !self.excludes_earlier_grants
    }

    /// Returns whether a report has arrived that was sent at or after `time`.
    pub(super) fn has_report_since(&self, time: Time) -> bool {
        self.sent_after >= time
    }
}
