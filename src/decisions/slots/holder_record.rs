//! What one VM may have running at an endpoint, as far as its allocator knows.

use smallvec::SmallVec;

use crate::blackboard::SlotDemand;
use crate::decisions::slots::{SlotReport, SlotsConfig};
use crate::units::{Incarnation, Time};

/// Grants remembered singly; older ones are merged, which only counts more.
const REMEMBERED: usize = 32;

#[derive(Debug, Clone, Copy)]
struct IssuedGrant {
    sequence: u64,
    slots: u32,
    /// No later than the time when the first of the merged grants was issued.
    at: Time,
    until: Time,
}

/// One VM's record at the allocator.
#[derive(Debug)]
pub(super) struct HolderRecord {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) demand: SlotDemand,
    /// The newest report was sent after this time of the allocator's clock.
    pub(super) known_from: Time,
    /// Position in the rotation for scarce slots; the lowest is next.
    pub(super) served: u64,
    /// Sequence of the newest report that was answered, and the slots that the answer granted.
    pub(super) answered: u64,
    pub(super) granted_slots: u32,
    pub(super) recalled_at: Time,
    /// Running total of completed answers, from when the ramp counts them.
    completed: Option<u64>,
    issued: SmallVec<[IssuedGrant; 8]>,
    /// No grant is usable from this time on.
    lapsed_at: Time,
    heard_at: Time,
    /// Upper bound from load reports that were taken after all grants had lapsed.
    ceiling: Option<u32>,
    /// Reports from before this time say too little: an earlier allocator's grants were in use.
    unknown_before: Time,
    /// From this time on no earlier allocator grants. A report from after it that excludes all
    /// grants but those in this record ends the doubt early.
    alone_from: Time,
    /// Sequence of the first report in this record. Grants that answer earlier messages were
    /// issued before the record began.
    first_sequence: Option<u64>,
    /// Whether the newest report excludes those.
    excludes_earlier: bool,
}

impl HolderRecord {
    pub(super) fn new(now: Time, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            demand: SlotDemand::default(),
            known_from: Time::ZERO,
            served: 0,
            answered: 0,
            granted_slots: 0,
            recalled_at: Time::ZERO,
            completed: None,
            issued: SmallVec::new(),
            lapsed_at: now,
            heard_at: now,
            ceiling: None,
            unknown_before: Time::ZERO,
            alone_from: Time::ZERO,
            first_sequence: None,
            excludes_earlier: false,
        }
    }

    /// Goes on with the VM's next incarnation. The work of the former one ended with its
    /// connections, but the new one started after all that is known of the former.
    pub(super) fn restart(&mut self, now: Time, incarnation: Incarnation) {
        *self = Self {
            known_from: self.known_from,
            served: self.served,
            lapsed_at: self.lapsed_at,
            unknown_before: self.unknown_before,
            alone_from: self.alone_from,
            ..Self::new(now, incarnation)
        };
    }

    /// Assumes the worst of the VM until it is heard after `open_from`, when the grants of
    /// earlier allocators have lapsed, or until it says that it uses none of them.
    pub(super) fn doubt_before(&mut self, open_from: Time, since: Time) {
        self.unknown_before = open_from;
        self.alone_from = since;
        self.lapsed_at = self.lapsed_at.max(open_from);
        self.ceiling = None;
    }

    /// Takes a newer report; one that was overtaken says nothing new.
    pub(super) fn on_report(&mut self, now: Time, report: &SlotReport) -> bool {
        if report.sequence <= self.sequence {
            return false;
        }
        let applied = self
            .issued
            .iter()
            .find(|issued| issued.sequence == report.applied);
        if let Some(applied) = applied {
            self.known_from = self.known_from.max(applied.at);
        }
        self.issued
            .retain(|issued| issued.sequence >= report.released_before);
        if report.released_before > self.answered {
            self.granted_slots = 0;
        }
        let first_sequence = *self.first_sequence.get_or_insert(report.sequence);
        self.excludes_earlier = report.released_before >= first_sequence;
        if self.excludes_earlier && self.heard_after(self.alone_from) {
            self.unknown_before = Time::ZERO;
        }
        self.sequence = report.sequence;
        self.demand = report.demand;
        self.heard_at = now;
        self.ceiling = None;
        true
    }

    pub(super) fn issue(&mut self, now: Time, slots: u32, config: &SlotsConfig) {
        let until = now + config.grant_life;
        self.lapsed_at = self.lapsed_at.max(until);
        self.ceiling = None;
        if let Some(last) = self.issued.last_mut()
            && last.sequence == self.sequence
        {
            last.slots = last.slots.max(slots);
            last.until = until;
            return;
        }
        if self.issued.len() >= REMEMBERED {
            let oldest = self.issued.remove(0);
            let second = &mut self.issued[0];
            second.slots = second.slots.max(oldest.slots);
            second.at = oldest.at;
        }
        self.issued.push(IssuedGrant {
            sequence: self.sequence,
            slots,
            at: now,
            until,
        });
    }

    /// Returns the answers completed since the previous report. Only reports from after the
    /// cold sign count, so that earlier answers do not speed up the ramp.
    pub(super) fn credit(&mut self, total: u64, cold_at: Time) -> u32 {
        if !self.heard_after(cold_at) {
            return 0;
        }
        let before = self.completed.replace(total).unwrap_or(total);
        u32::try_from(total.saturating_sub(before)).unwrap_or(u32::MAX)
    }

    pub(super) fn on_cold(&mut self) {
        self.completed = None;
    }

    pub(super) fn on_load(&mut self, read_at: Time, busy: u32, config: &SlotsConfig) {
        if read_at >= self.lapsed_at + config.load_lag {
            self.ceiling = Some(self.ceiling.map_or(busy, |ceiling| ceiling.min(busy)));
        }
    }

    /// Returns the most that the VM can have running from now on without a new grant.
    pub(super) fn slots(&self, now: Time, config: &SlotsConfig) -> u32 {
        if now >= self.lapsed_at.max(self.heard_at) + config.request_life {
            return 0;
        }
        let granted = self.issued.iter().map(|issued| issued.slots).max();
        let known = self.demand.in_flight.max(granted.unwrap_or(0));
        let most = if self.is_doubted() { u32::MAX } else { known };
        self.ceiling.map_or(most, |ceiling| most.min(ceiling))
    }

    /// Returns whether the VM has reported lately. A silent one keeps its share but gets no
    /// part of a division, or its last wish would keep slots from all others.
    pub(super) fn is_present(&self, now: Time, config: &SlotsConfig) -> bool {
        now < self.heard_at + config.grant_life
    }

    /// Returns whether the VM can use more slots than it was granted. One without any asks for
    /// its standing share.
    pub(super) fn wants_more(&self) -> bool {
        self.granted_slots == 0 || self.wanted() > self.granted_slots
    }

    /// Returns the slots that the VM could use: its requests that run and wait.
    pub(super) fn wanted(&self) -> u32 {
        self.demand.in_flight.saturating_add(self.demand.waiting)
    }

    /// Returns whether the VM may use grants of an earlier allocator.
    pub(super) fn is_doubted(&self) -> bool {
        !self.heard_after(self.unknown_before)
    }

    /// Returns whether the VM may still use a grant that an answer would replace without
    /// need: one of an earlier allocator.
    pub(super) fn is_bridged(&self, now: Time) -> bool {
        now < self.unknown_before && !self.excludes_earlier
    }

    /// Returns whether a report from after `time` is known.
    pub(super) fn heard_after(&self, time: Time) -> bool {
        self.known_from >= time
    }
}
