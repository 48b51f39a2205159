//! Rules of the slot protocol that let slots move at once without exceeding the capacity.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::SlotDemand;
use primrosewalk::decisions::membership::Tenure;
use primrosewalk::decisions::slots::{
    Measured, SlotAnswer, SlotHolder, SlotKeeper, SlotLimits, SlotNews, SlotReport, SlotsConfig,
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

/// A holder that reports to keepers at set times, with a count of traffic from then.
#[derive(Default)]
struct Holder {
    inner: SlotHolder,
    config: SlotsConfig,
}

impl Holder {
    fn report(&mut self, ms: u64, keeper: &str, sequence: u64, waiting: u32) -> SlotReport {
        let measured = Measured {
            at: at(ms),
            demand: wants(waiting),
        };
        let message = (RUN, sequence);
        self.inner.report(
            at(ms),
            &vm(keeper),
            &place(),
            message,
            measured,
            &self.config,
        )
    }

    fn take(&mut self, ms: u64, keeper: &str, sequence: u64, slots: u32) -> bool {
        let answer = SlotAnswer {
            incarnation: RUN,
            sequence,
            slots,
            ramp: None,
        };
        self.inner
            .on_answer(at(ms), &vm(keeper), &place(), &answer, &self.config)
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
/// answer that brings the grant back. A change of keepers right after it must not hide it.
#[gtest]
fn a_recalled_grant_is_released_only_once_traffic_obeys() {
    let lag_ms = u64::try_from(SlotsConfig::default().publication_lag.as_millis()).unwrap();
    for new_keeper in ["vm-1", "vm-2"] {
        let mut holder = Holder::default();
        holder.report(0, "vm-1", 1, 4);
        holder.take(1, "vm-1", 1, 4);
        holder.report(50, "vm-1", 2, 4);
        let config = holder.config;
        assert_that!(holder.inner.on_recall(at(60), &place(), &config), eq(true));
        expect_that!(holder.slots(), eq(0));
        expect_that!(holder.take(61, "vm-1", 2, 4), eq(false));
        let early = holder.report(60 + lag_ms - 1, new_keeper, 3, 4);
        let late = holder.report(60 + lag_ms, new_keeper, 4, 4);
        expect_that!(early.released_before, le(1), "{new_keeper}");
        expect_that!(late.released_before, ge(3), "{new_keeper}");
    }
}

/// A keeper with two members, in a tenure that began at 0.
struct Keeper {
    inner: SlotKeeper,
}

impl Keeper {
    fn new() -> Self {
        let mut inner = SlotKeeper::new(SlotsConfig::default());
        inner.set_members([vm("vm-1"), vm("vm-2")]);
        Self { inner }
    }

    fn tenure() -> Tenure {
        Tenure {
            number: 1,
            since: at(0),
            until: at(60_000),
        }
    }

    /// Takes a report that states `taken` and `released_before`, and answers it.
    fn hear(&mut self, ms: u64, from: &str, numbers: (u64, u64, u64), waiting: u32) -> Option<u32> {
        let (sequence, taken, released_before) = numbers;
        let report = SlotReport {
            incarnation: RUN,
            sequence,
            demand: wants(waiting),
            completed: 0,
            taken,
            released_before,
            cold: false,
            ramp: None,
        };
        self.inner.on_report(at(ms), &place(), &vm(from), &report);
        let tenure = Self::tenure();
        let answer = self
            .inner
            .answer(at(ms), &place(), &vm(from), LIMITS, tenure);
        answer.map(|answer| answer.slots)
    }

    fn due(&mut self, ms: u64) -> Vec<(String, SlotNews)> {
        let due = self.inner.due(at(ms), &place(), LIMITS, Self::tenure());
        let due = due.into_iter().map(|(vm, news)| (vm.to_string(), news));
        due.collect()
    }
}

/// Guards the takeover wait: it ends early only when each member has said, in this tenure,
/// that it uses no grant from before.
#[gtest]
fn a_tenure_opens_early_only_after_word_from_every_member() {
    let mut keeper = Keeper::new();
    expect_that!(keeper.hear(10, "vm-1", (1, 0, 1), 4), some(eq(0)));
    expect_that!(
        keeper.hear(20, "vm-1", (2, 1, 2), 4),
        some(eq(0)),
        "vm-2 is silent"
    );
    expect_that!(keeper.hear(30, "vm-2", (5, 0, 0), 0), none(), "it bridges");
    expect_that!(keeper.hear(40, "vm-1", (3, 2, 3), 4), some(eq(0)));
    expect_that!(keeper.hear(50, "vm-2", (6, 0, 6), 0), some(eq(0)));
    expect_that!(
        keeper.hear(60, "vm-1", (4, 3, 4), 4),
        some(eq(0)),
        "before the tenure"
    );
    expect_that!(keeper.hear(70, "vm-2", (7, 6, 7), 0), some(eq(1)));
    expect_that!(keeper.hear(80, "vm-1", (5, 4, 5), 4), some(eq(5)));
}

/// Guards slots that stay where they are not used, and calls for slots that nobody needs.
#[gtest]
fn grants_are_recalled_only_for_a_vm_in_need() {
    let mut keeper = Keeper::new();
    for (ms, numbers) in [(10, (1, 0, 1)), (20, (2, 1, 2)), (30, (3, 2, 3))] {
        keeper.hear(ms, "vm-1", numbers, 0);
        keeper.hear(ms, "vm-2", numbers, 0);
    }
    expect_that!(keeper.hear(40, "vm-1", (4, 3, 4), 0), some(eq(3)));
    expect_that!(keeper.due(41), is_empty());
    expect_that!(keeper.hear(50, "vm-2", (4, 3, 4), 5), some(eq(3)));
    expect_that!(
        keeper.due(51),
        elements_are![eq(&("vm-1".to_owned(), SlotNews::Recall))]
    );
    expect_that!(keeper.due(52), is_empty(), "one recall at a time");
    keeper.hear(60, "vm-1", (5, 4, 5), 0);
    expect_that!(
        keeper.due(61),
        elements_are![eq(&("vm-2".to_owned(), SlotNews::Answer))]
    );
    let late = at(0) + Duration::from_secs(60);
    let tenure = Keeper::tenure();
    let due = keeper.inner.due(late, &place(), LIMITS, tenure);
    expect_that!(due.len(), eq(0), "the tenure is over");
}
