//! Rules of the slot protocol that let slots move at once without exceeding the capacity.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::SlotDemand;
use primrosewalk::decisions::membership::OwnershipEpoch;
use primrosewalk::decisions::slots::{
    MeasuredDemand, SlotAllocator, SlotAnswer, SlotHolder, SlotLimits, SlotReport, SlotUpdate,
    SlotsConfig,
};
use primrosewalk::units::{EndpointName, Incarnation, Time, VmId};

const RUN: Incarnation = Incarnation(1);
const LIMITS: SlotLimits = SlotLimits { warm: 6, cold: 2 };

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn place() -> EndpointName {
    "e-1".parse().unwrap()
}

fn wants(waiting: u32) -> SlotDemand {
    SlotDemand {
        in_flight: 0,
        waiting,
    }
}

/// A holder that reports to allocators at set times, with a count of traffic from then.
#[derive(Default)]
struct Holder {
    inner: SlotHolder,
    config: SlotsConfig,
}

impl Holder {
    fn report(&mut self, ms: u64, allocator: &str, sequence: u64, waiting: u32) -> SlotReport {
        let measured = MeasuredDemand {
            at: at(ms),
            demand: wants(waiting),
        };
        let message = (RUN, sequence);
        self.inner.report(
            at(ms),
            &vm(allocator),
            &place(),
            message,
            measured,
            &self.config,
        )
    }

    fn take(&mut self, ms: u64, allocator: &str, sequence: u64, slots: u32) -> bool {
        let answer = SlotAnswer {
            incarnation: RUN,
            sequence,
            slots,
            ramp: None,
        };
        self.inner
            .on_answer(at(ms), &vm(allocator), &place(), &answer, &self.config)
    }

    fn slots(&self) -> u32 {
        let grant = self.inner.grants().get(&place());
        grant.map_or(0, |grant| grant.slots)
    }
}

/// Guards against answers to one report that arrive in the wrong order.
#[gtest]
fn a_second_answer_to_a_report_only_raises_the_grant() {
    let mut holder = Holder::default();
    holder.report(0, "vm-1", 1, 4);
    let answers = [(1, true), (3, true), (2, false), (3, false), (4, true)];
    let mut highest = 0;
    for (slots, taken) in answers {
        expect_that!(holder.take(1, "vm-1", 1, slots), eq(taken), "{slots} slots");
        highest = highest.max(slots);
        expect_that!(holder.slots(), eq(highest));
    }
}

/// Guards against a recall that is reported before traffic has seen it, and against a late
/// answer that brings the grant back. A change of allocators right after it must not hide it.
#[gtest]
fn a_recalled_grant_is_released_only_once_traffic_obeys() {
    let lag_ms = u64::try_from(SlotsConfig::default().publication_lag.as_millis()).unwrap();
    for new_allocator in ["vm-1", "vm-2"] {
        let mut holder = Holder::default();
        holder.report(0, "vm-1", 1, 4);
        holder.take(1, "vm-1", 1, 4);
        holder.report(50, "vm-1", 2, 4);
        let config = holder.config;
        assert_that!(holder.inner.on_recall(at(60), &place(), &config), eq(true));
        expect_that!(holder.slots(), eq(0));
        expect_that!(holder.take(61, "vm-1", 2, 4), eq(false));
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

    /// Takes a report that states `applied` and `released_before`, and answers it.
    fn hear(&mut self, ms: u64, from: &str, numbers: (u64, u64, u64), waiting: u32) -> Option<u32> {
        let (sequence, applied, released_before) = numbers;
        let report = SlotReport {
            incarnation: RUN,
            sequence,
            demand: wants(waiting),
            completed: 0,
            applied,
            released_before,
            cold: false,
            ramp: None,
        };
        self.inner.on_report(at(ms), &place(), &vm(from), &report);
        let epoch = Self::epoch();
        let answer = self
            .inner
            .answer(at(ms), &place(), &vm(from), LIMITS, epoch);
        answer.map(|answer| answer.slots)
    }

    fn updates_due(&mut self, ms: u64) -> Vec<(String, SlotUpdate)> {
        let updates = self
            .inner
            .updates_due(at(ms), &place(), LIMITS, Self::epoch());
        let updates = updates
            .into_iter()
            .map(|(vm, update)| (vm.to_string(), update));
        updates.collect()
    }
}

/// Guards the takeover wait: it ends early only when each member has said, in this epoch,
/// that it uses no grant from before.
#[gtest]
fn an_epoch_opens_early_only_after_word_from_every_member() {
    let mut allocator = Allocator::new();
    expect_that!(allocator.hear(10, "vm-1", (1, 0, 1), 4), some(eq(0)));
    expect_that!(
        allocator.hear(20, "vm-1", (2, 1, 2), 4),
        some(eq(0)),
        "vm-2 is silent"
    );
    expect_that!(
        allocator.hear(30, "vm-2", (5, 0, 0), 0),
        none(),
        "it bridges"
    );
    expect_that!(allocator.hear(40, "vm-1", (3, 2, 3), 4), some(eq(0)));
    expect_that!(allocator.hear(50, "vm-2", (6, 0, 6), 0), some(eq(0)));
    expect_that!(
        allocator.hear(60, "vm-1", (4, 3, 4), 4),
        some(eq(0)),
        "before the epoch"
    );
    expect_that!(allocator.hear(70, "vm-2", (7, 6, 7), 0), some(eq(1)));
    expect_that!(allocator.hear(80, "vm-1", (5, 4, 5), 4), some(eq(5)));
}

/// Guards slots that stay where they are not used, and calls for slots that nobody needs.
#[gtest]
fn grants_are_recalled_only_for_a_vm_in_need() {
    let mut allocator = Allocator::new();
    for (ms, numbers) in [(10, (1, 0, 1)), (20, (2, 1, 2)), (30, (3, 2, 3))] {
        allocator.hear(ms, "vm-1", numbers, 0);
        allocator.hear(ms, "vm-2", numbers, 0);
    }
    expect_that!(allocator.hear(40, "vm-1", (4, 3, 4), 0), some(eq(3)));
    expect_that!(allocator.updates_due(41), is_empty());
    expect_that!(allocator.hear(50, "vm-2", (4, 3, 4), 5), some(eq(3)));
    expect_that!(
        allocator.updates_due(51),
        elements_are![eq(&("vm-1".to_owned(), SlotUpdate::Recall))]
    );
    expect_that!(
        allocator.updates_due(52),
        is_empty(),
        "one recall at a time"
    );
    allocator.hear(60, "vm-1", (5, 4, 5), 0);
    expect_that!(
        allocator.updates_due(61),
        elements_are![eq(&("vm-2".to_owned(), SlotUpdate::Answer))]
    );
    let late = at(0) + Duration::from_secs(60);
    let epoch = Allocator::epoch();
    let updates = allocator.inner.updates_due(late, &place(), LIMITS, epoch);
    expect_that!(updates.len(), eq(0), "the epoch is over");
}

/// A VM of the closed loop: its holder, and the ends of its requests that run.
struct Looper {
    name: VmId,
    holder: SlotHolder,
    ends_ms: Vec<u64>,
    sequence: u64,
    report_at_ms: u64,
    completed: u64,
}

impl Looper {
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

    /// Ends and starts requests; others always wait. The next one to wait leads to a report.
    fn work(&mut self, now_ms: u64, case: &ScarceSlots) {
        const SERVICE_MS: u64 = 40;
        let before = self.ends_ms.len();
        self.ends_ms.retain(|end| *end > now_ms);
        let ended = before - self.ends_ms.len();
        self.completed += ended as u64;
        if ended > 0 {
            self.report_at_ms = self.report_at_ms.min(now_ms + case.report_delay_ms);
        }
        let grant = self.holder.grants().get(&place());
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
        let (at, message) = (at(now_ms), (RUN, self.sequence));
        let measured = MeasuredDemand { at, demand };
        self.holder
            .report(at, &vm("vm-1"), &place(), message, measured, config)
    }
}

/// Fewer slots than VMs that want them, or just about as many.
#[derive(Debug)]
struct ScarceSlots {
    slots: u32,
    /// Between the first reports of two VMs.
    phase_ms: u64,
    /// From the end of a request to the report of the next one that waits.
    report_delay_ms: u64,
}

/// Guards against a VM that gets none of the few slots of a cold endpoint, because those that
/// gave one back get it again while their own request still runs.
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
                share_in_closed_loop(&case);
            }
        }
    }
}

/// Runs three VMs in a closed loop and checks that each completes requests in every second.
fn share_in_closed_loop(case: &ScarceSlots) {
    const MAX_WAIT_MS: u64 = 1_000;
    let config = SlotsConfig::default();
    let lag_ms = config.publication_lag.as_millis() as u64;
    let limits = SlotLimits {
        warm: case.slots,
        cold: case.slots,
    };
    let names = [("vm-1", 0), ("vm-2", 1), ("vm-3", 2)];
    let mut loopers = names.map(|(name, turn)| Looper::new(name, turn * case.phase_ms));
    let mut allocator = SlotAllocator::new(config);
    allocator.set_members(loopers.iter().map(|looper| looper.name.clone()));
    let mut completed_before = [0; 3];
    let epoch = Allocator::epoch();
    for now_ms in 1..10 * MAX_WAIT_MS {
        let now = at(now_ms);
        let mut to_answer = Vec::new();
        for (index, looper) in loopers.iter_mut().enumerate() {
            looper.work(now_ms, case);
            if looper.report_at_ms <= now_ms {
                let report = looper.report(now_ms, &config);
                allocator.on_report(now, &place(), &looper.name, &report);
                to_answer.push(index);
            }
        }
        for (name, update) in allocator.updates_due(now, &place(), limits, epoch) {
            let index = loopers.iter().position(|looper| looper.name == name);
            let index = index.unwrap();
            if update == SlotUpdate::Answer {
                to_answer.push(index);
            } else if loopers[index].holder.on_recall(now, &place(), &config) {
                loopers[index].report_at_ms = now_ms + lag_ms;
            }
        }
        for index in to_answer {
            let Looper { name, holder, .. } = &mut loopers[index];
            if let Some(answer) = allocator.answer(now, &place(), name, limits, epoch) {
                holder.on_answer(now, &vm("vm-1"), &place(), &answer, &config);
            }
        }
        let running: usize = loopers.iter().map(|looper| looper.ends_ms.len()).sum();
        assert_that!(running, le(case.slots as usize), "{case:?}");
        // The epoch opens within the first second.
        if now_ms % MAX_WAIT_MS == 0 && now_ms > MAX_WAIT_MS {
            for (looper, before) in loopers.iter().zip(&mut completed_before) {
                let whom = format!("{case:?}, {}, {now_ms} ms", looper.name);
                expect_that!(looper.completed, gt(*before), "{whom}");
                *before = looper.completed;
            }
        }
    }
}
