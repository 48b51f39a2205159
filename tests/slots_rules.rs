//! Rules of the slot protocol by which slots move between VMs at once, without exceeding the
//! capacity of an endpoint.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::SlotDemand;
use primrosewalk::decisions::membership::OwnershipEpoch;
use primrosewalk::decisions::slots::{
    MeasuredDemand, SlotAllocator, SlotAnswer, SlotHolder, SlotLimits, SlotReport, SlotUpdate,
    SlotsConfig,
};
use primrosewalk::units::{EndpointName, Incarnation, Time, VmId};

const INCARNATION: Incarnation = Incarnation(1);
const LIMITS: SlotLimits = SlotLimits { warm: 6, cold: 2 };

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn endpoint() -> EndpointName {
    "e-1".parse().unwrap()
}

fn demand(waiting: u32) -> SlotDemand {
    SlotDemand {
        in_flight: 0,
        waiting,
    }
}

/// A holder whose reports carry a demand that was measured at the time of the report.
#[derive(Default)]
struct Holder {
    inner: SlotHolder,
    config: SlotsConfig,
}

impl Holder {
    fn report(&mut self, ms: u64, allocator: &str, sequence: u64, waiting: u32) -> SlotReport {
        let measured = MeasuredDemand {
            at: at(ms),
            demand: demand(waiting),
        };
        let message = (INCARNATION, sequence);
        self.inner.report(
            at(ms),
            &vm(allocator),
            &endpoint(),
            message,
            measured,
            &self.config,
        )
    }

    /// Applies an answer to the report `sequence`, and returns whether it was accepted.
    fn apply_answer(&mut self, ms: u64, allocator: &str, sequence: u64, slots: u32) -> bool {
        let answer = SlotAnswer {
            incarnation: INCARNATION,
            sequence,
            slots,
            ramp: None,
        };
        self.inner
            .on_answer(at(ms), &vm(allocator), &endpoint(), &answer, &self.config)
    }

    fn slots(&self) -> u32 {
        let grant = self.inner.grants().get(&endpoint());
        grant.map_or(0, |grant| grant.slots)
    }
}

/// Guards against a grant that shrinks because answers to one report arrive in the wrong order.
#[gtest]
fn a_second_answer_to_a_report_only_raises_the_grant() {
    let mut holder = Holder::default();
    holder.report(0, "vm-1", 1, 4);
    let answers = [(1, true), (3, true), (2, false), (3, false), (4, true)];
    let mut highest = 0;
    for (slots, applied) in answers {
        expect_that!(
            holder.apply_answer(1, "vm-1", 1, slots),
            eq(applied),
            "{slots} slots"
        );
        highest = highest.max(slots);
        expect_that!(holder.slots(), eq(highest));
    }
}

/// Guards against a grant that is reported as released before traffic has seen its recall, and
/// against a late answer that restores the grant. A change of the allocator right after the recall
/// must not hide that the grant may still be in use.
#[gtest]
fn a_recalled_grant_is_released_only_once_traffic_has_seen_the_recall() {
    let lag_ms = u64::try_from(SlotsConfig::default().publication_lag.as_millis()).unwrap();
    for new_allocator in ["vm-1", "vm-2"] {
        let mut holder = Holder::default();
        holder.report(0, "vm-1", 1, 4);
        holder.apply_answer(1, "vm-1", 1, 4);
        holder.report(50, "vm-1", 2, 4);
        let config = holder.config;
        assert_that!(
            holder.inner.on_recall(at(60), &endpoint(), &config),
            eq(true)
        );
        expect_that!(holder.slots(), eq(0));
        expect_that!(holder.apply_answer(61, "vm-1", 2, 4), eq(false));
        let early = holder.report(60 + lag_ms - 1, new_allocator, 3, 4);
        let late = holder.report(60 + lag_ms, new_allocator, 4, 4);
        expect_that!(early.released_before, le(1), "{new_allocator}");
        expect_that!(late.released_before, ge(3), "{new_allocator}");
    }
}

/// An allocator with two members, in an ownership epoch that began at 0.
struct Allocator {
    inner: SlotAllocator,
}

impl Allocator {
    fn new() -> Self {
        let mut inner = SlotAllocator::new(SlotsConfig::default());
        inner.set_members([vm("vm-1"), vm("vm-2")]);
        Self { inner }
    }

    fn epoch() -> OwnershipEpoch {
        OwnershipEpoch {
            number: 1,
            since: at(0),
            until: at(60_000),
        }
    }

    /// Processes a report with the given `sequence`, `applied` and `released_before`, and returns
    /// the slots that the answer grants.
    fn report_and_answer(
        &mut self,
        ms: u64,
        from: &str,
        numbers: (u64, u64, u64),
        waiting: u32,
    ) -> Option<u32> {
        let (sequence, applied, released_before) = numbers;
        let report = SlotReport {
            incarnation: INCARNATION,
            sequence,
            demand: demand(waiting),
            completed: 0,
            applied,
            released_before,
            cold: false,
            ramp: None,
        };
        self.inner
            .on_report(at(ms), &endpoint(), &vm(from), &report);
        let epoch = Self::epoch();
        let answer = self
            .inner
            .answer(at(ms), &endpoint(), &vm(from), LIMITS, epoch);
        answer.map(|answer| answer.slots)
    }

    fn updates_due(&mut self, ms: u64) -> Vec<(String, SlotUpdate)> {
        let updates = self
            .inner
            .updates_due(at(ms), &endpoint(), LIMITS, Self::epoch());
        let updates = updates
            .into_iter()
            .map(|(vm, update)| (vm.to_string(), update));
        updates.collect()
    }
}

/// Guards the takeover wait: it ends early only once each member has reported, in this epoch, that
/// it uses no grant from before the epoch.
#[gtest]
fn the_takeover_wait_ends_early_only_after_reports_from_every_member() {
    let mut allocator = Allocator::new();
    expect_that!(
        allocator.report_and_answer(10, "vm-1", (1, 0, 1), 4),
        some(eq(0))
    );
    expect_that!(
        allocator.report_and_answer(20, "vm-1", (2, 1, 2), 4),
        some(eq(0)),
        "vm-2 has not reported"
    );
    expect_that!(
        allocator.report_and_answer(30, "vm-2", (5, 0, 0), 0),
        none(),
        "vm-2 may still use a grant of an earlier allocator, so it gets no answer"
    );
    expect_that!(
        allocator.report_and_answer(40, "vm-1", (3, 2, 3), 4),
        some(eq(0))
    );
    expect_that!(
        allocator.report_and_answer(50, "vm-2", (6, 0, 6), 0),
        some(eq(0))
    );
    expect_that!(
        allocator.report_and_answer(60, "vm-1", (4, 3, 4), 4),
        some(eq(0)),
        "the report of vm-2 may have been sent before the epoch began"
    );
    expect_that!(
        allocator.report_and_answer(70, "vm-2", (7, 6, 7), 0),
        some(eq(1))
    );
    expect_that!(
        allocator.report_and_answer(80, "vm-1", (5, 4, 5), 4),
        some(eq(5))
    );
}

/// Guards against slots that stay at a VM that does not use them, and against recalls of slots that
/// no VM needs.
#[gtest]
fn grants_are_recalled_only_for_a_vm_in_need() {
    let mut allocator = Allocator::new();
    for (ms, numbers) in [(10, (1, 0, 1)), (20, (2, 1, 2)), (30, (3, 2, 3))] {
        allocator.report_and_answer(ms, "vm-1", numbers, 0);
        allocator.report_and_answer(ms, "vm-2", numbers, 0);
    }
    expect_that!(
        allocator.report_and_answer(40, "vm-1", (4, 3, 4), 0),
        some(eq(3))
    );
    expect_that!(allocator.updates_due(41), is_empty());
    expect_that!(
        allocator.report_and_answer(50, "vm-2", (4, 3, 4), 5),
        some(eq(3))
    );
    expect_that!(
        allocator.updates_due(51),
        elements_are![eq(&("vm-1".to_owned(), SlotUpdate::Recall))]
    );
    expect_that!(
        allocator.updates_due(52),
        is_empty(),
        "a second recall while one is under way"
    );
    allocator.report_and_answer(60, "vm-1", (5, 4, 5), 0);
    expect_that!(
        allocator.updates_due(61),
        elements_are![eq(&("vm-2".to_owned(), SlotUpdate::Answer))]
    );
    let late = at(0) + Duration::from_secs(60);
    let epoch = Allocator::epoch();
    let updates = allocator
        .inner
        .updates_due(late, &endpoint(), LIMITS, epoch);
    expect_that!(
        updates.len(),
        eq(0),
        "updates are due although the epoch is over"
    );
}

/// A VM that always has requests waiting and starts one whenever it has a free slot.
struct ClosedLoopVm {
    name: VmId,
    holder: SlotHolder,
    /// When its running requests end.
    ends_ms: Vec<u64>,
    sequence: u64,
    report_at_ms: u64,
    completed: u64,
}

impl ClosedLoopVm {
    fn new(name: &str, report_at_ms: u64) -> Self {
        Self {
            name: vm(name),
            holder: SlotHolder::default(),
            ends_ms: Vec::new(),
            sequence: 0,
            report_at_ms,
            completed: 0,
        }
    }

    /// Ends the requests that are due and starts as many as there are free slots. A request that
    /// ended brings the next report forward, as the next waiting request does in a VM.
    fn work(&mut self, now_ms: u64, case: &ScarceSlots) {
        const SERVICE_MS: u64 = 40;
        let before = self.ends_ms.len();
        self.ends_ms.retain(|end| *end > now_ms);
        let ended = before - self.ends_ms.len();
        self.completed += ended as u64;
        if ended > 0 {
            self.report_at_ms = self.report_at_ms.min(now_ms + case.report_delay_ms);
        }
        let grant = self.holder.grants().get(&endpoint());
        let slots = grant.map_or(0, |grant| grant.slots) as usize;
        while self.ends_ms.len() < slots {
            self.ends_ms.push(now_ms + SERVICE_MS);
        }
    }

    fn report(&mut self, now_ms: u64, config: &SlotsConfig) -> SlotReport {
        const REPORT_PERIOD_MS: u64 = 200;
        self.sequence += 1;
        self.report_at_ms = now_ms + REPORT_PERIOD_MS;
        let demand = SlotDemand {
            in_flight: self.ends_ms.len() as u32,
            waiting: 12,
        };
        let (at, message) = (at(now_ms), (INCARNATION, self.sequence));
        let measured = MeasuredDemand { at, demand };
        self.holder
            .report(at, &vm("vm-1"), &endpoint(), message, measured, config)
    }
}

/// An endpoint with fewer slots than VMs that want them, or with up to one more.
#[derive(Debug)]
struct ScarceSlots {
    slots: u32,
    /// Time between the first reports of one VM and the next.
    phase_ms: u64,
    /// Time from the end of a request to the report that follows it.
    report_delay_ms: u64,
}

/// Guards against a VM that gets none of the few slots of a cold endpoint, because VMs that gave a
/// slot back get it again while their own request still runs.
#[gtest]
fn scarce_slots_reach_every_vm() {
    for slots in 1..=4 {
        for phase_ms in [0, 1, 13, 40] {
            for report_delay_ms in [0, 1, 5, 20] {
                let case = ScarceSlots {
                    slots,
                    phase_ms,
                    report_delay_ms,
                };
                check_closed_loop(&case);
            }
        }
    }
}

/// Runs three VMs in a closed loop and checks that each completes requests in every second.
fn check_closed_loop(case: &ScarceSlots) {
    const MAX_WAIT_MS: u64 = 1_000;
    let config = SlotsConfig::default();
    let lag_ms = config.publication_lag.as_millis() as u64;
    let limits = SlotLimits {
        warm: case.slots,
        cold: case.slots,
    };
    let names = [("vm-1", 0), ("vm-2", 1), ("vm-3", 2)];
    let mut vms = names.map(|(name, turn)| ClosedLoopVm::new(name, turn * case.phase_ms));
    let mut allocator = SlotAllocator::new(config);
    allocator.set_members(vms.iter().map(|vm_state| vm_state.name.clone()));
    let mut completed_before = [0; 3];
    let epoch = Allocator::epoch();
    for now_ms in 1..10 * MAX_WAIT_MS {
        let now = at(now_ms);
        let mut to_answer = Vec::new();
        for (index, vm_state) in vms.iter_mut().enumerate() {
            vm_state.work(now_ms, case);
            if vm_state.report_at_ms <= now_ms {
                let report = vm_state.report(now_ms, &config);
                allocator.on_report(now, &endpoint(), &vm_state.name, &report);
                to_answer.push(index);
            }
        }
        for (name, update) in allocator.updates_due(now, &endpoint(), limits, epoch) {
            let index = vms.iter().position(|vm_state| vm_state.name == name);
            let index = index.unwrap();
            if update == SlotUpdate::Answer {
                to_answer.push(index);
            } else if vms[index].holder.on_recall(now, &endpoint(), &config) {
                vms[index].report_at_ms = now_ms + lag_ms;
            }
        }
        for index in to_answer {
            let ClosedLoopVm { name, holder, .. } = &mut vms[index];
            if let Some(answer) = allocator.answer(now, &endpoint(), name, limits, epoch) {
                holder.on_answer(now, &vm("vm-1"), &endpoint(), &answer, &config);
            }
        }
        let running: usize = vms.iter().map(|vm_state| vm_state.ends_ms.len()).sum();
        assert_that!(running, le(case.slots as usize), "{case:?}");
        // The first second is not checked: the takeover wait ends within it.
        if now_ms % MAX_WAIT_MS == 0 && now_ms > MAX_WAIT_MS {
            for (vm_state, before) in vms.iter().zip(&mut completed_before) {
                let context = format!("{case:?}, {}, after {now_ms} ms", vm_state.name);
                expect_that!(vm_state.completed, gt(*before), "{context}");
                *before = vm_state.completed;
            }
        }
    }
}
