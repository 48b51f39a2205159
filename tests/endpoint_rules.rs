//! Tables of cases for single rules of the decisions about endpoints.
//!
//! Guards what the randomised tests cannot check: the figures and orders of preference that
//! `docs/design.md`, 3.4 to 3.8, specifies.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::{Catalogue, EndpointLoad, SlotDemand, SlotGrant, Snapshot};
use primrosewalk::decisions::circuit::FailureClass;
use primrosewalk::decisions::membership::{MemberList, OwnershipEpoch};
use primrosewalk::decisions::placement::{
    EngineReport, OrderKind, OrderReason, OwnershipContext, Placement, PlacementConfig,
};
use primrosewalk::decisions::routing::{Choice, RouteRequest, Router, RoutingConfig};
use primrosewalk::decisions::slots::{
    MeasuredDemand, SlotAllocator, SlotAnswer, SlotHolder, SlotLimits, SlotReport, SlotsConfig,
};
use primrosewalk::manifest::{Manifest, Stage};
use primrosewalk::units::{EndpointName, Incarnation, Time, Version, VmId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// Two engines in data centre a, one each in b and c; c is out of service.
fn manifest() -> Manifest {
    let engine = |name: &str, centre: &str| {
        serde_json::json!({"name": name, "kind": "generate", "service": "chat",
            "address": "127.0.0.1:1", "data_centre": centre, "slots": 10, "models": ["m", "n"]})
    };
    serde_json::from_value(serde_json::json!({
        "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"},
            {"name": "c", "region": "r", "state": "out"}],
        "models": [{"name": "m", "wanted_engines": 2}],
        "endpoints": [engine("a1", "a"), engine("a2", "a"), engine("b1", "b"), engine("c1", "c")],
    }))
    .unwrap()
}

fn stage() -> Stage {
    let stage =
        serde_json::json!({"name": "s", "kind": "generate", "service": "chat", "model": "m"});
    serde_json::from_value(stage).unwrap()
}

fn request<'a>(stage: &'a Stage, exclude: &'a [EndpointName]) -> RouteRequest<'a> {
    RouteRequest {
        stage,
        exclude,
        avoid: None,
        prefix: None,
    }
}

fn snapshot(now: Time, running: &[(&str, u32, &str)]) -> Snapshot {
    let grant = SlotGrant {
        slots: 10,
        valid_until: now + Duration::from_secs(2),
    };
    let names = ["a1", "a2", "b1", "c1"];
    let loads = running.iter().map(|(endpoint, running, model)| {
        let load = EndpointLoad {
            read_at: now,
            running: *running,
            models: vec![name(model)],
            ..EndpointLoad::default()
        };
        (name(endpoint), load)
    });
    Snapshot {
        catalogue: Some(Arc::new(Catalogue::new(manifest()))),
        grants: Arc::new(names.iter().map(|text| (name(text), grant)).collect()),
        loads: Arc::new(loads.collect()),
        ..Snapshot::default()
    }
}

/// The situation, as words separated by spaces, and the endpoints that are then chosen.
///
/// `a1=9`: engine a1 reports 9 running requests. `a1+8`: 8 requests of this VM are in flight at a1.
/// `a1!`: a1 has another model loaded. `a1~`: a1 was sent the prefix before. `-a`: data centre a is
/// to be avoided.
struct ChoiceCase(&'static str, &'static [&'static str]);

#[gtest]
fn endpoints_are_chosen_by_place_load_and_prefix() {
    let cases = [
        ChoiceCase("", &["a1", "a2"]),
        ChoiceCase("a1+5", &["a2"]),
        ChoiceCase("a1=9 a2=9 a1+8 a2+8", &["a1", "a2", "b1"]),
        ChoiceCase("-a", &["b1"]),
        ChoiceCase("a1!", &["a2"]),
        ChoiceCase("b1~", &["b1"]),
        ChoiceCase("a1~ a1=9 a1+9", &["a2"]),
        ChoiceCase("a1! a2! b1!", &["Busy"]),
    ];
    for case in cases {
        let now = at(10_000);
        let mut router = Router::new(RoutingConfig::default(), name("a"));
        let (stage, mut avoid) = (stage(), None);
        let mut loads = [("a1", 0, "m"), ("a2", 0, "m"), ("b1", 0, "m")];
        for word in case.0.split_whitespace() {
            if let Some(centre) = word.strip_prefix('-') {
                avoid = Some(name(centre));
                continue;
            }
            let (engine, condition) = word.split_at(2);
            let count = condition[1..].parse().unwrap_or(0);
            let load = loads.iter_mut().find(|load| load.0 == engine).unwrap();
            match &condition[..1] {
                "=" => load.1 = count,
                "!" => load.2 = "n",
                "+" => (0..count).for_each(|_| _ = router.on_start(&name(engine))),
                _ => {
                    let with_prefix = RouteRequest {
                        prefix: Some(7),
                        ..request(&stage, &[])
                    };
                    let attempt = router.start(now, &name(engine), &with_prefix);
                    router.finish(now, attempt, Some(Ok(())));
                }
            }
        }
        let request = RouteRequest {
            avoid: avoid.as_ref(),
            prefix: Some(7),
            ..request(&stage, &[])
        };
        let snapshot = snapshot(now, &loads);
        let mut seen: Vec<String> = (0..60)
            .map(|seed| {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                match router.choose(now, &snapshot, &request, &mut random) {
                    Choice::Endpoint { name, .. } => name.to_string(),
                    other => format!("{other:?}"),
                }
            })
            .collect();
        seen.sort();
        seen.dedup();
        expect_that!(seen, eq(case.1), "{}", case.0);
    }
}

/// Engine, class of its failures, number of failures in a row, and the engines that get no work
/// afterwards.
struct FailureCase(&'static str, FailureClass, u32, &'static [&'static str]);

#[gtest]
fn circuits_open_by_failure_class() {
    let cases = [
        FailureCase("a1", FailureClass::Transient, 2, &[]),
        FailureCase("a1", FailureClass::Transient, 3, &["a1"]),
        FailureCase("a1", FailureClass::Permanent, 1, &["a1"]),
        FailureCase("a1", FailureClass::Model, 1, &["a1"]),
        FailureCase("a1", FailureClass::Cold, 1, &["a1"]),
        // b1 is the only endpoint of the only other data centre: its failures alone do not show
        // that this VM is at fault, so its circuit opens.
        FailureCase("b1", FailureClass::Transient, 3, &["b1"]),
    ];
    for case in cases {
        let mut router = Router::new(RoutingConfig::default(), name("a"));
        let (stage, now) = (stage(), at(5_000));
        // The grants are from before any cold sign.
        let snapshot = snapshot(at(4_000), &[]);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let any = request(&stage, &[]);
        router.choose(now, &snapshot, &any, &mut random);
        for _ in 0..case.2 {
            let attempt = router.start(now, &name(case.0), &any);
            router.finish(now, attempt, Some(Err(case.1)));
        }
        let all: [EndpointName; 3] = ["a1", "a2", "b1"].map(name);
        let without_work = all.iter().filter(|engine| {
            let others: Vec<_> = all
                .iter()
                .filter(|other| other != engine)
                .cloned()
                .collect();
            let elsewhere = request(&stage, &others);
            let choice = router.choose(now, &snapshot, &elsewhere, &mut random);
            choice == Choice::Busy
        });
        let without_work: Vec<&str> = without_work.map(EndpointName::as_str).collect();
        expect_that!(without_work, eq(case.3), "{} {:?}", case.0, case.1);
    }
}

#[gtest]
fn failures_in_every_other_data_centre_open_no_circuit() {
    // The engine that still answers, and whether the circuit of a1 opens.
    for (answering, open) in [(None, false), (Some("b1"), true)] {
        // Seen from c, both a (two endpoints) and b (one) are other data centres.
        let mut router = Router::new(RoutingConfig::default(), name("c"));
        let (stage, snapshot) = (stage(), snapshot(at(0), &[]));
        let request = request(&stage, &[]);
        router.choose(
            at(0),
            &snapshot,
            &request,
            &mut ChaCha8Rng::seed_from_u64(1),
        );
        for round in 0..4 {
            for engine in ["a1", "a2", "b1"] {
                let attempt = router.start(at(round * 300), &name(engine), &request);
                let failed = answering != Some(engine);
                let result = if failed {
                    Err(FailureClass::Transient)
                } else {
                    Ok(())
                };
                router.finish(at(round * 300), attempt, Some(result));
            }
        }
        expect_that!(
            router.circuit(&name("a1")).is_open(),
            eq(open),
            "{answering:?}"
        );
    }
}

#[gtest]
fn pauses_double_up_to_the_maximum_and_only_for_probes() {
    let mut router = Router::new(RoutingConfig::default(), name("a"));
    let engine: EndpointName = name("a1");
    let (stage, mut now) = (stage(), at(0));
    let request = request(&stage, &[]);
    // All of these attempts start before the circuit opens, so none of them is a probe.
    let attempts: Vec<_> = (0..20)
        .map(|_| router.start(now, &engine, &request))
        .collect();
    for attempt in attempts {
        router.finish(now, attempt, Some(Err(FailureClass::Transient)));
    }
    for pause_ms in [250, 500, 1_000, 2_000, 4_000, 8_000, 8_000] {
        let just_before = now + Duration::from_millis(pause_ms - 1);
        expect_that!(
            router.circuit(&engine).allows(just_before),
            eq(false),
            "{pause_ms}"
        );
        now = now + Duration::from_millis(pause_ms);
        expect_that!(router.circuit(&engine).allows(now), eq(true), "{pause_ms}");
        let probe = router.start(now, &engine, &request);
        expect_that!(router.circuit(&engine).allows(now), eq(false));
        router.finish(now, probe, Some(Err(FailureClass::Transient)));
    }
}

const LIMITS: SlotLimits = SlotLimits { warm: 10, cold: 2 };

fn epoch(since_ms: u64) -> OwnershipEpoch {
    OwnershipEpoch {
        number: since_ms,
        since: at(since_ms),
        until: at(1_000_000),
    }
}

fn report(sequence: u64, in_flight: u32, waiting: u32) -> SlotReport {
    SlotReport {
        incarnation: Incarnation(1),
        sequence,
        demand: SlotDemand { in_flight, waiting },
        completed: 0,
        applied: sequence - 1,
        released_before: sequence - 1,
        cold: false,
        ramp: None,
    }
}

/// Sends six rounds of reports, enough for grants to settle, and returns the slots that each VM
/// has been granted then.
fn report_rounds(allocator: &mut SlotAllocator, from_ms: u64, demands: &[(&str, u32)]) -> Vec<u32> {
    let mut slots = vec![0; demands.len()];
    for round in 0..6 {
        let now = at(from_ms + round * 200);
        for (index, (vm, waiting)) in demands.iter().enumerate() {
            let vm: VmId = name(vm);
            allocator.on_report(
                now,
                &name("e"),
                &vm,
                &report(from_ms / 200 + round + 1, 0, *waiting),
            );
            let answer = allocator.answer(now, &name("e"), &vm, LIMITS, epoch(0));
            slots[index] = answer.map_or(0, |answer| answer.slots);
        }
    }
    slots
}

/// Waiting requests of three VMs, and the slots that each VM gets.
struct DivisionCase([u32; 3], [u32; 3]);

#[gtest]
fn capacity_is_divided_by_demand() {
    let cases = [
        DivisionCase([20, 20, 2], [4, 4, 2]),
        DivisionCase([1, 1, 20], [1, 1, 8]),
        DivisionCase([0, 0, 4], [2, 2, 6]),
    ];
    for case in cases {
        let mut allocator = SlotAllocator::new(SlotsConfig::default());
        let [first, second, third] = case.0;
        let demands = [("v1", first), ("v2", second), ("v3", third)];
        let slots = report_rounds(&mut allocator, 1_000, &demands);
        expect_that!(slots, eq(&case.1), "{:?}", case.0);
    }
}

#[gtest]
fn a_new_allocator_grants_nothing_before_the_takeover_wait_and_reports_of_every_vm() {
    let mut allocator = SlotAllocator::new(SlotsConfig::default());
    allocator.set_members(["v1", "v2"].map(name));
    let early = report_rounds(&mut allocator, 0, &[("v1", 5)]);
    expect_that!(early, eq(&[0]), "grants within the takeover wait");
    let alone = report_rounds(&mut allocator, 4_000, &[("v1", 5)]);
    expect_that!(
        alone,
        eq(&[0]),
        "v2 has not reported and may have any amount of work running"
    );
    let load = EndpointLoad {
        read_at: at(5_000),
        running: 7,
        ..EndpointLoad::default()
    };
    allocator.on_load(at(5_000), &name("e"), &load);
    let answer = allocator.answer(at(5_000), &name("e"), &name("v1"), LIMITS, epoch(0));
    expect_that!(
        answer.unwrap().slots,
        eq(3),
        "the endpoint's load report bounds the work of v2"
    );
}

/// Time in ms, total of answers completed by then, and the resulting capacity in slots.
struct RampCase(u64, u64, u32);

#[gtest]
fn a_cold_endpoint_ramps_up_by_answers_and_doubles_at_most() {
    let cases = [
        RampCase(10_000, 50, 2),
        RampCase(10_200, 51, 3),
        RampCase(10_400, 60, 4),
        RampCase(11_000, 60, 4),
        RampCase(11_300, 60, 6),
        RampCase(12_400, 60, 10),
    ];
    let mut allocator = SlotAllocator::new(SlotsConfig::default());
    report_rounds(&mut allocator, 1_000, &[("v1", 1)]);
    allocator.on_cold(at(9_000), &name("e"));
    for (step, case) in (7..).zip(cases) {
        let now = at(case.0);
        // The first two reports show that the VM has applied a grant issued after the sign.
        for sequence in [2 * step, 2 * step + 1] {
            let completed = case.1;
            let report = SlotReport {
                completed,
                ..report(sequence, 0, 1)
            };
            allocator.on_report(now, &name("e"), &name("v1"), &report);
            allocator.answer(now, &name("e"), &name("v1"), LIMITS, epoch(0));
        }
        expect_that!(
            allocator.capacity(now, &name("e")),
            some(eq(case.2)),
            "{}",
            case.0
        );
    }
    let mut successor = SlotAllocator::new(SlotsConfig::default());
    let report = SlotReport {
        ramp: Some(3),
        ..report(1, 0, 1)
    };
    successor.on_report(at(20_000), &name("e"), &name("v1"), &report);
    let answer = successor.answer(at(20_000), &name("e"), &name("v1"), LIMITS, epoch(18_000));
    expect_that!(
        answer.unwrap().ramp,
        some(eq(3)),
        "a new allocator continues the ramp that a holder reports"
    );
}

#[gtest]
fn a_holder_drops_its_grant_at_a_cold_sign_and_reports_the_sign() {
    let (config, endpoint, allocator) = (SlotsConfig::default(), name("e"), name("v1"));
    let mut holder = SlotHolder::default();
    let measured = MeasuredDemand {
        at: at(0),
        demand: SlotDemand::default(),
    };
    let send = |holder: &mut SlotHolder, sequence, millis| {
        let message = (Incarnation(1), sequence);
        holder.report(
            at(millis),
            &allocator,
            &endpoint,
            message,
            measured,
            &config,
        )
    };
    let apply_answer = |holder: &mut SlotHolder, sequence, millis| {
        let answer = SlotAnswer {
            incarnation: Incarnation(1),
            sequence,
            slots: 5,
            ramp: None,
        };
        holder.on_answer(at(millis), &allocator, &endpoint, &answer, &config)
    };
    send(&mut holder, 1, 0);
    send(&mut holder, 2, 100);
    expect_that!(apply_answer(&mut holder, 1, 150), eq(true));
    let is_new = [200, 201].map(|millis| holder.on_cold_sign(at(millis), &endpoint, &config));
    expect_that!((is_new, holder.grants().len()), eq(([true, false], 0)));
    expect_that!(
        apply_answer(&mut holder, 2, 210),
        eq(false),
        "an answer to a report from before the cold sign is not applied"
    );
    let cold = [3, 4].map(|sequence| send(&mut holder, sequence, sequence * 100).cold);
    expect_that!(
        cold,
        eq([true, true]),
        "reports state the cold sign until one of them is answered"
    );
    expect_that!(apply_answer(&mut holder, 3, 450), eq(true));
    expect_that!(send(&mut holder, 5, 500).cold, eq(false));
    expect_that!(
        apply_answer(&mut holder, 4, 1_400),
        eq(false),
        "the answer came too late to be applied"
    );
}

#[gtest]
fn placement_waits_for_reports_and_orders_what_is_missing_with_reasons() {
    let mut placement = Placement::new(PlacementConfig::default());
    let (me, catalogue) = (name("v1"), Catalogue::new(manifest()));
    let list = MemberList {
        version: Version(4),
        members: [me].into_iter().collect(),
    };
    let me: VmId = name("v1");
    let decide = |placement: &mut Placement, millis| {
        let context = OwnershipContext {
            now: at(millis),
            me: &me,
            list: &list,
            epoch: epoch(1_000),
        };
        placement.decide(context, &catalogue).to_vec()
    };
    let report = |millis, loaded: &[&str]| EngineReport {
        read_at: at(millis),
        loaded: loaded.iter().map(|model| name(model)).collect(),
        fencing: Some(name("4.1500.2")),
        ..EngineReport::default()
    };
    let early = [2_099, 4_000].map(|millis| decide(&mut placement, millis).len());
    expect_that!(
        early,
        eq([0, 0]),
        "orders while the epoch settles, then before any engine reported"
    );
    for engine in ["a2", "b1", "c1"] {
        placement.on_report(&name(engine), report(4_000, &["m"]));
    }
    expect_that!(
        decide(&mut placement, 4_100),
        is_empty(),
        "two engines in service hold the model already"
    );
    placement.on_report(&name("a1"), report(4_200, &["old"]));
    placement.on_report(&name("b1"), report(4_200, &[]));
    let orders = decide(&mut placement, 4_300);
    let [load, unload] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    expect_that!(
        load.engine.as_str(),
        eq("b1"),
        "data centre a has an engine with the model already"
    );
    expect_that!(load.kind, eq(&OrderKind::Load(name("m"))));
    expect_that!(
        load.reason,
        eq(&OrderReason::TooFew {
            holding: 1,
            wanted: 2
        })
    );
    expect_that!(
        load.number.to_string(),
        eq("4.1501.1"),
        "the fencing number is above those that the engines report"
    );
    expect_that!(unload.reason, eq(&OrderReason::NotAllowed));
    expect_that!(
        decide(&mut placement, 4_400),
        is_empty(),
        "both orders are still under way"
    );
}
