//! The allocator's side of slots.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::blackboard::EndpointLoad;
use crate::decisions::membership::OwnershipEpoch;
use crate::decisions::slots::division::{Wish, divide};
use crate::decisions::slots::holder_record::HolderRecord;
use crate::decisions::slots::ramp::Ramp;
use crate::decisions::slots::{SlotAnswer, SlotLimits, SlotReport, SlotUpdate, SlotsConfig};
use crate::units::{EndpointName, Incarnation, Time, VmId};

/// Minimum time between recalls of one VM's grants. Each one stops its new work for a round
/// trip, so shares that change all the time must not cause them all the time.
const RECALL_GAP: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct EndpointSlots {
    epoch: Option<OwnershipEpoch>,
    limits: Option<SlotLimits>,
    /// Ordered, so that a division does not depend on hashing.
    holders: BTreeMap<VmId, HolderRecord>,
    ramp: Option<Ramp>,
    ramp_since: Time,
    served: u64,
}

/// The allocator's side: the endpoints that this VM owns.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    config: SlotsConfig,
    members: SmallVec<[VmId; 8]>,
    endpoints: HashMap<EndpointName, EndpointSlots>,
}

impl SlotAllocator {
    /// Starts without endpoints.
    pub fn new(config: SlotsConfig) -> Self {
        Self {
            config,
            members: SmallVec::new(),
            endpoints: HashMap::new(),
        }
    }

    /// Sets the VMs that may hold slots: all on the VM list, absent ones included. The work
    /// of a VM that is not on it any more does not count.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = VmId>) {
        self.members = members.into_iter().collect();
        let members = &self.members;
        for entry in self.endpoints.values_mut() {
            entry.holders.retain(|vm, _| members.contains(vm));
        }
    }

    /// Drops what is known of endpoints that this VM no longer owns.
    pub fn retain(&mut self, is_owned: impl Fn(&EndpointName) -> bool) {
        self.endpoints.retain(|endpoint, _| is_owned(endpoint));
    }

    /// Notes a VM's report. Late and repeated ones change nothing: what they say
    /// was in a newer one. Returns whether the report was new.
    pub fn on_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        vm: &VmId,
        report: &SlotReport,
    ) -> bool {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        let open_from = entry.open_from(&self.config);
        let Some(holder) = entry.holder(now, vm, report.incarnation) else {
            return false;
        };
        if !holder.on_report(now, report) {
            return false;
        }
        let tells_of_earlier_allocator = !open_from.is_some_and(|time| holder.heard_after(time));
        if let Some(ramp) = report.ramp.filter(|_| tells_of_earlier_allocator) {
            entry.join_ramp(now, ramp);
        }
        entry.on_total(now, vm, report.completed);
        if report.cold {
            entry.turn_cold(now);
        }
        true
    }

    /// Notes a load report of the endpoint. It bounds the work of VMs that are silent, and
    /// may be a sign of a cold start. Returns whether it is the first sign, which is passed
    /// to the peers.
    pub fn on_load(&mut self, now: Time, endpoint: &EndpointName, load: &EndpointLoad) -> bool {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        let is_new = load.cold && entry.ramp.is_none();
        if load.cold {
            entry.turn_cold(now);
        }
        let busy = load.running.saturating_add(load.queued);
        for holder in entry.holders.values_mut() {
            holder.on_load(load.read_at, busy, &self.config);
        }
        is_new
    }

    /// Notes a sign of a cold start, or the return of the endpoint's data centre.
    pub fn on_cold(&mut self, now: Time, endpoint: &EndpointName) {
        let entry = self.endpoints.entry(endpoint.clone()).or_default();
        entry.turn_cold(now);
    }

    /// Notes attempts that were answered whole, which lets a cold endpoint ramp up.
    pub fn on_completed(&mut self, now: Time, endpoint: &EndpointName, count: u32) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.on_completed(now, count);
    }

    /// Returns what an endpoint bears now, as far as its allocator knows.
    pub fn capacity(&mut self, now: Time, endpoint: &EndpointName) -> Option<u32> {
        let entry = self.endpoints.get_mut(endpoint)?;
        let limits = entry.limits?;
        Some(entry.capacity(now, limits))
    }

    /// Answers the newest report of `vm` with the slots that it may use from now on, and notes
    /// the grant. A grant counts against the capacity until `grant_life` after `now`, and its
    /// work to the work's end. A grant of no slots must be sent as well: its receipt shows
    /// what the next report comes after.
    ///
    /// There is no answer while `vm` may use the grant of an earlier allocator, which the answer
    /// would replace.
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
            .is_none_or(|holder| holder.is_bridged(now))
        {
            return None;
        }
        let slots = entry.slots_for(now, vm, limits, &config);
        let capacity = entry.capacity(now, limits);
        let holder = entry.holders.get_mut(vm)?;
        holder.issue(now, slots, &config);
        if slots > 0 {
            entry.served += 1;
            holder.served = entry.served;
        }
        holder.answered = holder.sequence;
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
        holder.is_some_and(|holder| holder.answered < holder.sequence)
    }

    /// Returns the updates to send at once to VMs whose slots changed. It is empty while no VM
    /// needs more than it has: a share that only drifts is settled by the periodic answers.
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
        let fair = entry.fair_shares(now, capacity, &config);
        let mut is_short = false;
        for (vm, slots) in &fair {
            let holder = &entry.holders[vm];
            if holder.granted_slots >= *slots || !holder.wants_more() || holder.is_doubted() {
                continue;
            }
            let reserved = entry.reserved(now, &config, |other, _| other != vm);
            if entry
                .free_for(now, vm, capacity, &fair, &config)
                .min(*slots)
                > holder.granted_slots
            {
                updates.push((vm.clone(), SlotUpdate::Answer));
            }
            is_short |= u64::from(reserved) + u64::from(*slots) > u64::from(capacity);
        }
        if is_short {
            for (vm, slots) in &fair {
                let Some(holder) = entry
                    .holders
                    .get_mut(vm)
                    .filter(|it| it.granted_slots > *slots)
                else {
                    continue;
                };
                if holder.answered < holder.sequence {
                    updates.push((vm.clone(), SlotUpdate::Answer));
                } else if now >= holder.recalled_at + RECALL_GAP {
                    holder.recalled_at = now;
                    updates.push((vm.clone(), SlotUpdate::Recall));
                }
            }
        }
        updates
    }
}

impl EndpointSlots {
    /// Returns the record of a VM's incarnation, or nothing for one that has been replaced.
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

    /// The cold capacity is not known before the first grant; the ramp then starts at zero,
    /// and [`Ramp::capacity`] lifts it.
    fn turn_cold(&mut self, now: Time) {
        let cold = self.limits.map_or(0, |limits| limits.cold);
        self.ramp = Some(Ramp::new(now, cold));
        self.ramp_since = now;
        for holder in self.holders.values_mut() {
            holder.on_cold();
        }
    }

    fn on_total(&mut self, now: Time, vm: &VmId, total: u64) {
        let Some(holder) = self.holders.get_mut(vm).filter(|_| self.ramp.is_some()) else {
            return;
        };
        let count = holder.credit(total, self.ramp_since);
        self.on_completed(now, count);
    }

    fn on_completed(&mut self, now: Time, count: u32) {
        if let (Some(ramp), Some(limits)) = (&mut self.ramp, self.limits) {
            ramp.on_completed(count);
            ramp.capacity(now, limits);
        }
    }

    /// Goes on with the ramp that an earlier allocator was in.
    fn join_ramp(&mut self, now: Time, capacity: u32) {
        let current = self.ramp.as_ref().map(Ramp::current);
        if current.is_none_or(|current| capacity < current) {
            self.ramp = Some(Ramp::new(now, capacity));
            self.ramp_since = now;
        }
    }

    /// A VM that has not reported yet may have work running that an earlier allocator allowed.
    fn begin_epoch(
        &mut self,
        now: Time,
        epoch: OwnershipEpoch,
        members: &[VmId],
        config: &SlotsConfig,
    ) {
        let known = self.epoch.replace(epoch).map(|epoch| epoch.number);
        if known == Some(epoch.number) {
            return;
        }
        for vm in members {
            let unheard = || HolderRecord::new(now, Incarnation(0));
            self.holders.entry(vm.clone()).or_insert_with(unheard);
        }
        let open_from = epoch.since + config.grant_life;
        for holder in self.holders.values_mut() {
            holder.doubt_before(open_from, epoch.since);
        }
    }

    fn open_from(&self, config: &SlotsConfig) -> Option<Time> {
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

    fn slots_for(&mut self, now: Time, vm: &VmId, limits: SlotLimits, config: &SlotsConfig) -> u32 {
        let capacity = self.capacity(now, limits);
        if self.holders.get(vm).is_none_or(HolderRecord::is_doubted) {
            return 0;
        }
        let reserved = self.reserved(now, config, |other, _| other != vm);
        let fair = self.fair_shares(now, capacity, config);
        let free = self.free_for(now, vm, capacity, &fair, config);
        let own = fair.iter().find(|(other, _)| other == vm);
        let slots = own.map_or(0, |(_, slots)| *slots).min(free);
        assert!(slots == 0 || u64::from(slots) + u64::from(reserved) <= u64::from(capacity));
        slots
    }

    /// Returns what others leave of the capacity to a VM.
    ///
    /// The wanted part of the share of a VM that was served less lately counts as reserved. The
    /// VM that gave a scarce slot back would else get it again before the one it was recalled
    /// for, since only its own work is in the way.
    fn free_for(
        &self,
        now: Time,
        vm: &VmId,
        capacity: u32,
        fair: &[(VmId, u32)],
        config: &SlotsConfig,
    ) -> u32 {
        let fair_share = |other: &VmId| fair.iter().find(|(name, _)| name == other);
        let served = self.holders.get(vm).map_or(0, |holder| holder.served);
        let others = self.holders.iter().filter(|(other, _)| *other != vm);
        let reserved = others.map(|(other, holder)| {
            let reserved = holder.slots(now, config);
            let is_ahead = (holder.served, other) < (served, vm);
            let claim = fair_share(other).filter(|_| is_ahead);
            claim.map_or(reserved, |(_, slots)| {
                reserved.max(holder.wanted().min(*slots))
            })
        });
        capacity.saturating_sub(reserved.fold(0, u32::saturating_add))
    }

    /// Adds up the shares of the VMs that `counts` selects.
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
        let slots = counted.map(|(_, holder)| holder.slots(now, config));
        slots.fold(0, u32::saturating_add)
    }

    /// Divides the capacity among the VMs that are present.
    fn fair_shares(
        &self,
        now: Time,
        capacity: u32,
        config: &SlotsConfig,
    ) -> SmallVec<[(VmId, u32); 8]> {
        let silent = self.reserved(now, config, |_, holder| !holder.is_present(now, config));
        let present: SmallVec<[_; 8]> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_present(now, config))
            .collect();
        let wishes: SmallVec<[Wish; 8]> = present
            .iter()
            .map(|(_, holder)| Wish {
                demand: holder.wanted(),
                served: holder.served,
            })
            .collect();
        let slots = divide(capacity.saturating_sub(silent), &wishes);
        let present = present.into_iter().map(|(vm, _)| vm.clone());
        present.zip(slots).collect()
    }
}
