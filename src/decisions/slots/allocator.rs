//! Division of an endpoint's slots by its allocator, the VM that owns the endpoint.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::blackboard::EndpointLoad;
use crate::decisions::membership::OwnershipEpoch;
use crate::decisions::slots::division::{HolderDemand, divide};
use crate::decisions::slots::holder_record::HolderRecord;
use crate::decisions::slots::ramp::Ramp;
use crate::decisions::slots::{SlotAnswer, SlotLimits, SlotReport, SlotUpdate, SlotsConfig};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Minimum interval between recalls of one VM's grants. Each recall stops that VM's new work
/// for a round trip, so shares that change constantly must not cause constant recalls.
const MIN_RECALL_INTERVAL: Duration = Duration::from_millis(50);

/// What the allocator records about one endpoint.
#[derive(Debug, Default)]
struct EndpointSlots {
    epoch: Option<OwnershipEpoch>,
    limits: Option<SlotLimits>,
    /// Sorted by VM, so that the division does not depend on hash order.
    holders: BTreeMap<VmId, HolderRecord>,
    ramp: Option<Ramp>,
    ramp_since: Time,
    /// Number of grants with at least one slot that were issued so far.
    grants_issued: u64,
}

/// Grants slots of the endpoints that this VM owns to the VMs that use them.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    config: SlotsConfig,
    members: SmallVec<[VmId; 8]>,
    endpoints: HashMap<EndpointName, EndpointSlots>,
}

impl SlotAllocator {
    /// Creates an allocator without endpoints.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            members: SmallVec::new(),
            endpoints: HashMap::new(),
        }
    }

    /// Sets the VMs that may hold slots: all VMs on the VM list, absent ones included. The work
    /// of a VM that has left the list no longer counts against the capacity.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = VmId>) {
        self.members = members.into_iter().collect();
        let members = &self.members;
        for entry in self.endpoints.values_mut() {
            entry.holders.retain(|vm, _| members.contains(vm));
        }
    }

    /// Drops the state of endpoints that this VM no longer owns.
    pub fn retain(&mut self, is_owned: impl Fn(&EndpointName) -> bool) {
        self.endpoints.retain(|endpoint, _| is_owned(endpoint));
    }

    /// Records a VM's report. Late and duplicate reports change nothing, because a newer report
    /// already contained their content. Returns whether the report was new.
    pub fn on_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
        report: &SlotReport,
    ) -> bool {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        let earlier_grants_lapse_at = entry.earlier_grants_lapse_at(&self.config);
        let Some(holder) = entry.holder(now, vm, report.incarnation) else {
            return false;
        };
        if !holder.on_report(now, report) {
            return false;
        }
        let may_be_earlier_ramp =
            !earlier_grants_lapse_at.is_some_and(|time| holder.has_report_since(time));
        if let Some(ramp) = report.ramp.filter(|_| may_be_earlier_ramp) {
            entry.adopt_ramp(now, ramp);
        }
        entry.on_completed_total(now, vm, report.completed);
        if report.cold {
            entry.begin_cold_start(now);
        }
        true
    }

    /// Records a load report of the endpoint. The report bounds the work of VMs that are silent,
    /// and may be a sign of a cold start. Returns whether it is the first sign of this cold
    /// start; the caller passes a first sign on to the peers.
    pub fn on_load(&mut self, now: Time, endpoint: &EndpointName, load: &EndpointLoad) -> bool {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        let is_new = load.cold && entry.ramp.is_none();
        if load.cold {
            entry.begin_cold_start(now);
        }
        let busy = load.running.saturating_add(load.queued);
        for holder in entry.holders.values_mut() {
            holder.on_load(load.read_at, busy, &self.config);
        }
        is_new
    }

    /// Restarts the ramp after a sign of a cold start, or when the endpoint's data centre
    /// returns.
    pub fn on_cold(&mut self, now: Time, endpoint: &EndpointName) {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        entry.begin_cold_start(now);
    }

    /// Counts attempts whose answers were complete; each lets a cold endpoint ramp up.
    pub fn on_completed(&mut self, now: Time, endpoint: &EndpointName, count: u32) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.on_completed(now, count);
    }

    /// Returns the number of concurrent requests that an endpoint can serve now, as far as its
    /// allocator knows, or `None` before [`Self::answer`] has set its limits.
    pub fn capacity(&mut self, now: Time, endpoint: &EndpointName) -> Option<u32> {
        let entry = self.endpoints.get_mut(endpoint)?;
        let limits = entry.limits?;
        Some(entry.capacity(now, limits))
    }

    /// Answers the newest report of `vm` with the slots that it may use for at most `grant_life`,
    /// and records the grant. The grant counts against the capacity until a report releases it, and
    /// its work until a report shows that it ended; if `vm` is silent, load reports and
    /// `request_life` limit both. A grant of zero slots must be sent as well: once it is applied,
    /// the next report proves that it was sent after this answer.
    ///
    /// Returns `None` while `vm` may still use a grant of an earlier allocator, because the
    /// answer would replace that grant.
    pub fn answer(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
        limits: SlotLimits,
        epoch: OwnershipEpoch,
    ) -> Option<SlotAnswer> {
        if now >= epoch.until {
            return None;
        }
        let config = self.config;
        let entry = self.endpoints.get_mut(endpoint)?;
        if !entry.holders.contains_key(vm) {
            return None;
        }
        entry.begin_epoch(now, epoch, &self.members, &config);
        entry.limits = Some(limits);
        if entry
            .holders
            .get(vm)
            .is_none_or(|holder| holder.has_usable_earlier_grant(now))
        {
            return None;
        }
        let slots = entry.slots_to_grant(now, vm, limits, &config);
        let capacity = entry.capacity(now, limits);
        let holder = entry.holders.get_mut(vm)?;
        holder.issue(now, slots, &config);
        if slots > 0 {
            entry.grants_issued += 1;
            holder.last_served = entry.grants_issued;
        }
        holder.answered_sequence = holder.sequence;
        holder.granted_slots = slots;
        Some(SlotAnswer {
            incarnation: holder.incarnation,
            sequence: holder.sequence,
            slots,
            ramp: (capacity < limits.warm).then_some(capacity),
        })
    }

    /// Returns whether the newest report of `vm` has not been answered.
    pub fn is_unanswered(&self, endpoint: &EndpointName, vm: &VmId) -> bool {
        let entry = self.endpoints.get(endpoint);
        let holder = entry.and_then(|entry| entry.holders.get(vm));
        holder.is_some_and(|holder| holder.answered_sequence < holder.sequence)
    }

    /// Returns the updates to send at once. The list is empty while no VM needs more slots than
    /// it has: the periodic answers correct shares that change slowly.
    pub fn updates_due(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        limits: SlotLimits,
        epoch: OwnershipEpoch,
    ) -> SmallVec<[(VmId, SlotUpdate); 4]> {
        let config = self.config;
        let mut updates = SmallVec::new();
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return updates;
        };
        if now >= epoch.until {
            return updates;
        }
        let capacity = entry.capacity(now, limits);
        let fair_shares = entry.fair_shares(now, capacity, &config);
        let mut has_shortage = false;
        for (vm, slots) in &fair_shares {
            let holder = &entry.holders[vm];
            if holder.granted_slots >= *slots
                || !holder.wants_more()
                || holder.may_use_earlier_grants()
            {
                continue;
            }
            let reserved = entry.reserved(now, &config, |other, _| other != vm);
            if entry
                .free_for(now, vm, capacity, &fair_shares, &config)
                .min(*slots)
                > holder.granted_slots
            {
                updates.push((vm.clone(), SlotUpdate::Answer));
            }
            has_shortage |= u64::from(reserved) + u64::from(*slots) > u64::from(capacity);
        }
        if has_shortage {
            for (vm, slots) in &fair_shares {
                let Some(holder) = entry
                    .holders
                    .get_mut(vm)
                    .filter(|it| it.granted_slots > *slots)
                else {
                    continue;
                };
                if holder.answered_sequence < holder.sequence {
                    updates.push((vm.clone(), SlotUpdate::Answer));
                } else if now >= holder.recalled_at + MIN_RECALL_INTERVAL {
                    holder.recalled_at = now;
                    updates.push((vm.clone(), SlotUpdate::Recall));
                }
            }
        }
        updates
    }
}

impl EndpointSlots {
    /// Returns the record of a VM's incarnation, or `None` if a later incarnation replaced it.
    fn holder(
        &mut self,
        now: Time,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Option<&mut HolderRecord> {
        let holder = self
            .holders
            .entry(vm.clone())
            .or_insert_with(|| HolderRecord::new(now, incarnation));
        if holder.incarnation > incarnation {
            return None;
        }
        if holder.incarnation < incarnation {
            holder.restart(now, incarnation);
        }
        Some(holder)
    }

    /// Starts a new ramp from the endpoint's cold capacity. If [`SlotAllocator::answer`] has not
    /// set the limits yet, the ramp starts at zero, and [`Ramp::capacity`] raises it.
    fn begin_cold_start(&mut self, now: Time) {
        let cold = self.limits.map_or(0, |limits| limits.cold);
        self.ramp = Some(Ramp::new(now, cold));
        self.ramp_since = now;
        for holder in self.holders.values_mut() {
            holder.on_cold();
        }
    }

    /// Counts the attempts that completed since the VM's previous report, from the running
    /// `total` that the VM reports.
    fn on_completed_total(&mut self, now: Time, vm: &VmId, total: u64) {
        let Some(holder) = self.holders.get_mut(vm).filter(|_| self.ramp.is_some()) else {
            return;
        };
        let count = holder.newly_completed(total, self.ramp_since);
        self.on_completed(now, count);
    }

    fn on_completed(&mut self, now: Time, count: u32) {
        if let (Some(ramp), Some(limits)) = (&mut self.ramp, self.limits) {
            ramp.on_completed(count);
            ramp.capacity(now, limits);
        }
    }

    /// Continues the ramp of an earlier allocator at the `capacity` that a holder reported,
    /// unless the current ramp is already at or below it.
    fn adopt_ramp(&mut self, now: Time, capacity: u32) {
        let current = self.ramp.as_ref().map(Ramp::current);
        if current.is_none_or(|current| capacity < current) {
            self.ramp = Some(Ramp::new(now, capacity));
            self.ramp_since = now;
        }
    }

    /// Begins an ownership epoch, unless it is the current one. Every member gets a record, since
    /// a VM that has not reported yet may have work running that an earlier allocator allowed.
    fn begin_epoch(
        &mut self,
        now: Time,
        epoch: OwnershipEpoch,
        members: &[VmId],
        config: &SlotsConfig,
    ) {
        let previous = self.epoch.replace(epoch).map(|epoch| epoch.number);
        if previous == Some(epoch.number) {
            return;
        }
        for vm in members {
            let new_record = || HolderRecord::new(now, Incarnation(0));
            self.holders.entry(vm.clone()).or_insert_with(new_record);
        }
        let earlier_grants_lapse_at = epoch.since + config.grant_life;
        for holder in self.holders.values_mut() {
            holder.assume_earlier_grants(earlier_grants_lapse_at, epoch.since);
        }
    }

    /// Returns when the grants of earlier allocators have lapsed.
    fn earlier_grants_lapse_at(&self, config: &SlotsConfig) -> Option<Time> {
        self.epoch.map(|epoch| epoch.since + config.grant_life)
    }

    fn capacity(&mut self, now: Time, limits: SlotLimits) -> u32 {
        let Some(ramp) = &mut self.ramp else {
            return limits.warm;
        };
        let capacity = ramp.capacity(now, limits);
        if capacity >= limits.warm {
            self.ramp = None;
        }
        capacity
    }

    /// Returns the slots to grant to a VM now: its fair share, as far as others leave it free.
    fn slots_to_grant(
        &mut self,
        now: Time,
        vm: &VmId,
        limits: SlotLimits,
        config: &SlotsConfig,
    ) -> u32 {
        let capacity = self.capacity(now, limits);
        if self
            .holders
            .get(vm)
            .is_none_or(HolderRecord::may_use_earlier_grants)
        {
            return 0;
        }
        let reserved = self.reserved(now, config, |other, _| other != vm);
        let fair_shares = self.fair_shares(now, capacity, config);
        let free = self.free_for(now, vm, capacity, &fair_shares, config);
        let own = fair_shares.iter().find(|(other, _)| other == vm);
        let slots = own.map_or(0, |(_, slots)| *slots).min(free);
        assert!(slots == 0 || u64::from(slots) + u64::from(reserved) <= u64::from(capacity));
        slots
    }

    /// Returns the part of the capacity that other VMs leave free for `vm`.
    ///
    /// For a VM that was granted slots less recently than `vm`, the wanted part of its fair share
    /// counts as reserved. Otherwise the VM that gave a scarce slot back would get it again
    /// before the VM for which it was recalled, since only its own work occupies the slot.
    fn free_for(
        &self,
        now: Time,
        vm: &VmId,
        capacity: u32,
        fair_shares: &[(VmId, u32)],
        config: &SlotsConfig,
    ) -> u32 {
        let share_of = |other: &VmId| fair_shares.iter().find(|(name, _)| name == other);
        let last_served = self.holders.get(vm).map_or(0, |holder| holder.last_served);
        let others = self.holders.iter().filter(|(other, _)| *other != vm);
        let reserved = others.map(|(other, holder)| {
            let reserved = holder.max_running(now, config);
            let is_ahead = (holder.last_served, other) < (last_served, vm);
            let claim = share_of(other).filter(|_| is_ahead);
            claim.map_or(reserved, |(_, slots)| {
                reserved.max(holder.wanted().min(*slots))
            })
        });
        capacity.saturating_sub(reserved.fold(0, u32::saturating_add))
    }

    /// Returns the sum of the slots that the VMs selected by `counts` may be using.
    fn reserved(
        &self,
        now: Time,
        config: &SlotsConfig,
        counts: impl Fn(&VmId, &HolderRecord) -> bool,
    ) -> u32 {
        let counted = self
            .holders
            .iter()
            .filter(|(vm, holder)| counts(vm, holder));
        let slots = counted.map(|(_, holder)| holder.max_running(now, config));
        slots.fold(0, u32::saturating_add)
    }

    /// Divides the capacity, less the slots of silent VMs, among the VMs that reported recently.
    fn fair_shares(
        &self,
        now: Time,
        capacity: u32,
        config: &SlotsConfig,
    ) -> SmallVec<[(VmId, u32); 8]> {
        let silent = self.reserved(now, config, |_, holder| {
            !holder.has_reported_recently(now, config)
        });
        let present: SmallVec<[_; 8]> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.has_reported_recently(now, config))
            .collect();
        let demands: SmallVec<[HolderDemand; 8]> = present
            .iter()
            .map(|(_, holder)| HolderDemand {
                wanted: holder.wanted(),
                last_served: holder.last_served,
            })
            .collect();
        let slots = divide(capacity.saturating_sub(silent), &demands);
        let present = present.into_iter().map(|(vm, _)| vm.clone());
        present.zip(slots).collect()
    }
}
