//! Guards from whom a VM learns of changes of the store, and the log from which relays pass them on.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::change_log::{ChangeLog, LoggedChange};
use primrosewalk::decisions::store_source::{
    DOUBT_AGE, MAX_WORD_AGE, Plan, Role, SourceOrder, SourceWord, StoreCall, StoreSource,
    watches_store,
};
use primrosewalk::fleet::model::{FleetVm, VmSize};
use primrosewalk::units::{Time, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::at;

/// Returns VMs in five data centres, of which every twentieth has a fast link.
fn vms(count: usize) -> BTreeMap<VmId, FleetVm> {
    let vm = |index: usize| FleetVm {
        name: format!("vm-{index}").parse().unwrap(),
        ip: [10, 0, (index / 256) as u8, (index % 256) as u8].into(),
        data_centre: format!("dc-{}", index % 5).parse().unwrap(),
        size: VmSize {
            cpu_millicores: 120,
            link_mbit_per_s: if (index / 5).is_multiple_of(20) {
                200
            } else {
                20
            },
        },
    };
    (0..count)
        .map(|index| (vm(index).name.clone(), vm(index)))
        .collect()
}

/// What a source with recent word says.
const RECENT: SourceWord = SourceWord {
    is_recent: true,
    has_lost_store: false,
    asks_store: true,
};
/// What a source says that the store does not answer.
const LOST: SourceWord = SourceWord {
    is_recent: false,
    has_lost_store: true,
    asks_store: true,
};

/// Returns the first VM with a role, and its sources.
fn vm_with(role: Role, vms: &BTreeMap<VmId, FleetVm>) -> (&FleetVm, SourceOrder) {
    let mut orders = vms.values().map(|vm| (vm, SourceOrder::new(vm, vms)));
    orders.find(|(_, order)| order.role == role).unwrap()
}

/// Returns the only VM that a plan listens to.
fn single(plan: &Plan) -> Ipv4Addr {
    assert_eq!(plan.listen_to.len(), 1, "{plan:?}");
    plan.listen_to[0]
}

/// Returns how many listeners each relay has while all is well, and how many VMs watch the store.
fn listeners(vms: &BTreeMap<VmId, FleetVm>) -> (HashMap<Ipv4Addr, usize>, usize) {
    let mut listeners = HashMap::new();
    let mut watching = 0;
    for vm in vms.values() {
        let order = SourceOrder::new(vm, vms);
        let mut source = StoreSource::new(at(0));
        if watches_store(vm, vms) {
            source.on_store_answer(at(0));
        }
        let plan = source.plan(at(0), &order, Some(at(0)));
        match plan.store_call {
            Some(call) => {
                assert_eq!(call, StoreCall::Watch);
                assert!(plan.listen_to.is_empty());
                watching += 1;
            }
            None => *listeners.entry(single(&plan)).or_default() += 1,
        }
    }
    (listeners, watching)
}

#[gtest]
fn the_number_of_vms_that_watch_does_not_grow_with_the_fleet() {
    struct Case {
        vms: usize,
        watching: usize,
    }
    let cases = [
        Case {
            vms: 9,
            watching: 9,
        },
        Case {
            vms: 61,
            watching: 10,
        },
        Case {
            vms: 295,
            watching: 10,
        },
    ];
    for case in cases {
        let (listeners, watching) = listeners(&vms(case.vms));
        expect_that!(watching, eq(case.watching), "{} VMs", case.vms);
        let most = listeners.values().copied().max().unwrap_or(0);
        expect_that!(most, le(case.vms / 5), "{} VMs", case.vms);
    }
}

#[gtest]
fn relays_have_fast_links_and_are_near_their_listeners() {
    let vms = vms(295);
    for vm in vms.values() {
        let order = SourceOrder::new(vm, &vms);
        if order.role == Role::Relay {
            continue;
        }
        let plan = StoreSource::new(at(0)).plan(at(0), &order, Some(at(0)));
        let ip = single(&plan);
        let relay = vms.values().find(|relay| relay.ip == ip).unwrap();
        expect_that!(relay.size.link_mbit_per_s, eq(200));
        expect_that!(relay.data_centre, eq(&vm.data_centre));
        expect_that!(watches_store(relay, &vms), eq(true));
    }
}

/// No source of a VM answers, whatever their number: it asks all of them at once, in two data centres at least, and
/// the store within the bound.
#[gtest]
fn a_vm_whose_sources_are_silent_asks_the_store_itself_in_time() {
    for role in [Role::Relay, Role::Deputy, Role::Listener] {
        let vms = vms(295);
        let (_, order) = vm_with(role, &vms);
        let mut source = StoreSource::new(at(0));
        if role == Role::Relay {
            source.on_store_answer(at(0));
        }
        let word_at = Some(at(1_000));
        let calm = source.plan(at(1_000), &order, word_at);
        expect_that!(calm.is_in_doubt, eq(false), "{role:?}");
        expect_that!(calm.listen_to.len(), le(1), "{role:?}");
        expect_that!(calm.next_at, le(at(1_000) + DOUBT_AGE), "{role:?}");
        let doubt = source.plan(at(1_000) + DOUBT_AGE, &order, word_at);
        let all: HashSet<Ipv4Addr> = order.sources().collect();
        let asked: HashSet<Ipv4Addr> = doubt.listen_to.iter().copied().collect();
        expect_that!(asked, eq(&all), "{role:?}");
        let of_asked = |vm: &&FleetVm| asked.contains(&vm.ip);
        let data_centres = vms.values().filter(of_asked).map(|vm| &vm.data_centre);
        expect_that!(
            data_centres.collect::<HashSet<_>>().len(),
            ge(2),
            "{role:?}"
        );
        let latest = source.plan(at(1_000) + MAX_WORD_AGE, &order, word_at);
        expect_that!(latest.store_call, some(eq(StoreCall::Check)), "{role:?}");
        source.on_store_answer(at(2_600));
        let after = source.plan(at(2_600), &order, Some(at(2_590)));
        expect_that!(after.is_in_doubt, eq(false), "{role:?}");
    }
}

/// Sources answer, fail, say that they have no word or stay silent, at random, 200 times: the word of a VM whose calls
/// the store answers never gets older than the bound, unless two sources say that the store is down.
#[gtest]
fn the_age_of_the_word_is_bounded_whatever_sources_do() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = vms([30, 61, 295][seed as usize % 3]);
        let own = vms.values().nth(rng.random_range(0..vms.len())).unwrap();
        let order = SourceOrder::new(own, &vms);
        let mut source = StoreSource::new(at(0));
        let mut word_at = at(0);
        let mut now = at(0);
        let witness = rng
            .random_bool(0.5)
            .then(|| order.sources().next())
            .flatten();
        let end = at(20_000);
        while now < end {
            let plan = source.plan(now, &order, Some(word_at));
            expect_that!(plan.next_at, gt(now), "seed {seed}");
            for ip in &plan.listen_to {
                match rng.random_range(0..12) {
                    0 => source.on_source_failed(now, *ip, now),
                    // A source whose word is as old as the one known here.
                    1 if now.since(word_at) < DOUBT_AGE => {
                        source.on_source_word(now, *ip, now, RECENT)
                    }
                    2 if witness == Some(*ip) => source.on_source_word(now, *ip, now, LOST),
                    3 if rng.random_bool(0.05) => {
                        word_at = now;
                        source.on_source_word(now, *ip, now, RECENT);
                    }
                    _ => {}
                }
            }
            if plan.store_call == Some(StoreCall::Check) {
                word_at = now;
                source.on_store_answer(now);
            }
            // A watch says nothing here, as one whose connection is silent.
            let age = now.since(word_at);
            expect_that!(
                age,
                le(MAX_WORD_AGE),
                "seed {seed}, {:?} at {now}",
                order.role
            );
            now = (now + Duration::from_millis(rng.random_range(1..80))).min(plan.next_at);
        }
    }
}

/// A VM of a small fleet waits for its own watch, and asks the others once its calls fail.
#[gtest]
fn a_vm_of_a_small_fleet_depends_on_no_other() {
    let vms = vms(9);
    let (_, order) = vm_with(Role::Direct, &vms);
    let mut source = StoreSource::new(at(0));
    source.on_store_answer(at(0));
    let plan = source.plan(at(2_500), &order, Some(at(0)));
    expect_that!(plan.store_call, some(eq(StoreCall::Watch)));
    expect_that!(plan.listen_to, is_empty());
    source.on_store_unsure();
    let plan = source.plan(at(2_700), &order, Some(at(0)));
    expect_that!(plan.store_call, some(eq(StoreCall::Check)));
    source.on_store_failed(at(2_800), 0.5);
    let plan = source.plan(at(2_800), &order, Some(at(0)));
    expect_that!(plan.listen_to.len(), ge(3));
}

/// A relay returns from a cut while its former listeners follow another one: it gets none of them,
/// since it may be cut off again.
#[gtest]
fn a_relay_that_works_is_kept() {
    let vms = vms(295);
    let (_, order) = vm_with(Role::Listener, &vms);
    let mut source = StoreSource::new(at(0));
    let first = single(&source.plan(at(0), &order, Some(at(0))));
    source.on_source_failed(at(0), first, at(0));
    let doubt = source.plan(at(0), &order, Some(at(0)));
    let second = *doubt
        .listen_to
        .iter()
        .find(|ip| order.relays.contains(ip))
        .unwrap();
    expect_that!(second, not(eq(first)));
    source.on_source_word(at(10), second, at(10), RECENT);
    expect_that!(
        single(&source.plan(at(10), &order, Some(at(10)))),
        eq(second)
    );
    let later = source.plan(at(60_000), &order, Some(at(60_000)));
    expect_that!(single(&later), eq(second));
}

/// A deputy that has helped out keeps no listeners once a relay can be tried again: it is a small VM.
#[gtest]
fn a_vm_returns_from_a_deputy_to_a_relay() {
    let vms = vms(295);
    let (_, order) = vm_with(Role::Listener, &vms);
    let mut source = StoreSource::new(at(0));
    let _ = source.plan(at(0), &order, Some(at(0)));
    for relay in &order.relays {
        source.on_source_failed(at(0), *relay, at(0));
    }
    let _ = source.plan(at(0), &order, Some(at(0)));
    let deputy = order.deputies[0];
    source.on_source_word(at(100), deputy, at(100), RECENT);
    expect_that!(
        single(&source.plan(at(100), &order, Some(at(100)))),
        eq(deputy)
    );
    let later = source.plan(at(2_000), &order, Some(at(2_000)));
    expect_that!(order.relays.contains(&single(&later)), eq(true));
}

/// The store turns away one relay and serves the others.
#[gtest]
fn a_relay_that_the_store_turns_away_listens_to_others() {
    let vms = vms(295);
    let (relay, order) = vm_with(Role::Relay, &vms);
    let mut source = StoreSource::new(at(0));
    source.on_store_answer(at(0));
    let plan = source.plan(at(0), &order, Some(at(0)));
    expect_that!(plan.store_call, some(eq(StoreCall::Watch)));
    source.on_store_failed(at(10), 1.0);
    let doubt = source.plan(at(10), &order, Some(at(0)));
    expect_that!(doubt.store_call, none());
    expect_that!(doubt.listen_to.len(), eq(order.sources().count()));
    let other = order.relays[0];
    source.on_source_word(at(12), other, at(12), RECENT);
    let plan = source.plan(at(12), &order, Some(at(11)));
    expect_that!(single(&plan), all![eq(other), not(eq(relay.ip))]);
    // It tries the store again meanwhile, and watches it as soon as it answers.
    let plan = source.plan(at(220), &order, Some(at(200)));
    expect_that!(plan.store_call, some(eq(StoreCall::Check)));
    source.on_store_answer(at(225));
    let plan = source.plan(at(225), &order, Some(at(220)));
    expect_that!(plan.store_call, some(eq(StoreCall::Watch)));
}

/// A deputy that had to ask the store watches it for a while, so that others learn of changes from it.
#[gtest]
fn a_deputy_takes_the_place_of_silent_relays() {
    let vms = vms(295);
    let (_, order) = vm_with(Role::Deputy, &vms);
    let mut source = StoreSource::new(at(0));
    let calm = source.plan(at(0), &order, Some(at(0)));
    expect_that!(calm.store_call, none());
    let _ = source.plan(at(900), &order, Some(at(0)));
    let plan = source.plan(at(1_000), &order, Some(at(0)));
    expect_that!(plan.store_call, some(eq(StoreCall::Check)));
    source.on_store_answer(at(1_010));
    let plan = source.plan(at(1_010), &order, Some(at(1_000)));
    expect_that!(plan.store_call, some(eq(StoreCall::Watch)));
    let later = source.plan(at(5_100), &order, Some(at(5_000)));
    expect_that!(later.store_call, none());
}

/// VMs of which two sources say that the store is down learn from one that reaches it.
#[gtest]
fn a_vm_that_reaches_a_store_that_is_taken_for_down_offers_its_word() {
    let vms = vms(295);
    let (_, order) = vm_with(Role::Listener, &vms);
    let mut source = StoreSource::new(at(0));
    let _ = source.plan(at(900), &order, Some(at(0)));
    for relay in &order.relays {
        source.on_source_word(at(950), *relay, at(950), LOST);
    }
    source.on_store_answer(at(2_000));
    let plan = source.plan(at(2_000), &order, Some(at(1_990)));
    for relay in &order.relays {
        expect_that!(plan.listen_to.contains(relay), eq(true));
    }
    let (_, order) = vm_with(Role::Relay, &vms);
    let mut relay = StoreSource::new(at(0));
    let offering = Ipv4Addr::new(10, 9, 9, 9);
    relay.on_offer(at(10), offering);
    relay.on_store_failed(at(20), 1.0);
    let plan = relay.plan(at(20), &order, Some(at(0)));
    expect_that!(
        plan.listen_to.contains(&offering),
        eq(false),
        "not in doubt"
    );
    relay.on_offer(at(30), offering);
    let plan = relay.plan(at(30), &order, Some(at(0)));
    expect_that!(plan.listen_to.contains(&offering), eq(true));
}

/// Load pattern: the store is down for all for 16 s, and sources say so, one at a time. Returns the times of the calls
/// that a VM makes, of which each takes 1 s.
fn calls_of(vm: &FleetVm, vms: &BTreeMap<VmId, FleetVm>) -> Vec<Time> {
    let order = SourceOrder::new(vm, vms);
    let mut source = StoreSource::new(at(0));
    let mut calls: Vec<Time> = Vec::new();
    let mut asked_at: HashMap<Ipv4Addr, Time> = HashMap::new();
    let mut last_asked_at = at(0);
    let mut now = at(0);
    while now < at(16_000) {
        let plan = source.plan(now, &order, Some(at(0)));
        for ip in &plan.listen_to {
            // A call is held for 200 ms.
            let last = asked_at.insert(*ip, now);
            if last.is_none_or(|last| now.since(last) >= Duration::from_millis(200)) {
                last_asked_at = now;
                source.on_source_word(now, *ip, now, LOST);
            }
        }
        let pause = now.since(last_asked_at);
        expect_that!(pause, le(Duration::from_millis(2_600)), "{}", vm.name);
        let ends_at = calls.last().map(|at| *at + Duration::from_secs(1));
        if let Some(ends_at) = ends_at.filter(|ends_at| *ends_at == now) {
            source.on_store_failed(ends_at, 0.5);
        } else if plan.store_call.is_some() && ends_at.is_none_or(|ends_at| ends_at < now) {
            calls.push(now);
        }
        let running = calls.last().map(|at| *at + Duration::from_secs(1));
        let running = running.filter(|ends_at| *ends_at > now);
        let next =
            (now + Duration::from_millis(20)).min(plan.next_at.max(now + Duration::from_millis(1)));
        now = running.map_or(next, |ends_at| next.min(ends_at));
    }
    calls
}

/// The rate of calls to a store that is down does not grow with the fleet, and not all VMs call it at once.
#[gtest]
fn few_vms_press_on_a_store_that_is_down() {
    for count in [30, 100, 295] {
        let vms = vms(count);
        let mut by_half_second: BTreeMap<u64, usize> = BTreeMap::new();
        let (mut watchers, mut others) = (0, 0);
        for vm in vms.values() {
            let calls = calls_of(vm, &vms);
            match SourceOrder::new(vm, &vms).role {
                Role::Listener => {
                    others += calls.len();
                    for call in &calls {
                        let half_second = call.since(at(0)).as_millis() as u64 / 500;
                        *by_half_second.entry(half_second).or_default() += 1;
                    }
                }
                Role::Direct | Role::Relay | Role::Deputy => watchers += 1,
            }
        }
        expect_that!(watchers, le(20), "{count} VMs");
        // 10 calls a second for 16 s, and no more than twice that in a half second.
        expect_that!(others, le(16 * 10), "{count} VMs");
        let most = by_half_second.values().copied().max().unwrap_or(0);
        expect_that!(most, le(10), "{count} VMs");
    }
}

/// How the store treats the calls of a VM that it does not serve.
struct Refusal {
    name: &'static str,
    /// Time that a call and a probe take to fail.
    call_time: Duration,
    probe_time: Duration,
    answers_probes: bool,
}

const REFUSALS: [Refusal; 2] = [
    Refusal {
        name: "busy",
        call_time: Duration::from_millis(10),
        probe_time: Duration::from_millis(10),
        answers_probes: false,
    },
    Refusal {
        name: "silent",
        call_time: Duration::from_millis(1_000),
        probe_time: Duration::from_millis(1_000),
        answers_probes: false,
    },
];
/// Later than all that a test runs.
const NEVER: Time = Time::from_millis(1_000_000_000);
/// Time that an answer of the store takes.
const ANSWER_TIME: Duration = Duration::from_millis(10);

/// What a VM does while its sources say that the store is down.
#[derive(Default)]
struct Doubt {
    /// When the store first answered a call of the VM.
    answered_at: Option<Time>,
    calls: Vec<Time>,
    probes: Vec<Time>,
}

/// Runs a VM whose sources have no word and whose last word is of the time 0, up to the first answer of the store. The store
/// serves it from a time on.
fn run_doubt(order: &SourceOrder, refusal: &Refusal, served_from: Time, until: Time) -> Doubt {
    let mut source = StoreSource::new(at(0));
    let mut doubt = Doubt::default();
    // Ends of the call and of the probe in progress, and whether they are answered.
    let (mut call, mut probe) = (None::<(Time, bool)>, None::<(Time, bool)>);
    let mut now = at(0);
    while now < until {
        if let Some((_, is_answered)) = call.take_if(|(ends_at, _)| now >= *ends_at) {
            if is_answered {
                doubt.answered_at = Some(now);
                return doubt;
            }
            source.on_store_failed(now, 1.0);
        }
        if let Some((_, true)) = probe.take_if(|(ends_at, _)| now >= *ends_at) {
            source.on_probe_answered();
        }
        let plan = source.plan(now, order, Some(at(0)));
        for ip in &plan.listen_to {
            source.on_source_word(now, *ip, now, LOST);
        }
        let is_served = now >= served_from;
        if plan.is_probe_due && probe.is_none() {
            source.on_probe_began(now);
            doubt.probes.push(now);
            let time = if is_served {
                ANSWER_TIME
            } else {
                refusal.probe_time
            };
            probe = Some((now + time, is_served || refusal.answers_probes));
        }
        if plan.store_call.is_some() && call.is_none() {
            source.on_call_began();
            doubt.calls.push(now);
            let time = if is_served {
                ANSWER_TIME
            } else {
                refusal.call_time
            };
            call = Some((now + time, is_served));
        }
        now = now + Duration::from_millis(10);
    }
    doubt
}

/// The store is taken for down and serves one VM, or begins to after a while: the VM has its word in a time that does not
/// grow with the fleet, whatever its role.
#[gtest]
fn a_vm_that_the_store_serves_has_word_in_time_in_a_fleet_of_any_size() {
    // Age of its word, or a second from the moment at which the store begins to serve it, and the calls.
    let calls = ANSWER_TIME * 2 + Duration::from_millis(10);
    for count in [13, 30, 76, 295, 1_000] {
        let vms = vms(count);
        for vm in vms.values().step_by(1 + count / 15) {
            let order = SourceOrder::new(vm, &vms);
            for refusal in &REFUSALS {
                for served_from in [0, 1_000, 1_300, 2_222, 5_000, 5_450, 9_800].map(at) {
                    let doubt = run_doubt(&order, refusal, served_from, at(20_000));
                    let limit = (at(0) + MAX_WORD_AGE).max(served_from + Duration::from_secs(1));
                    expect_that!(
                        doubt.answered_at,
                        some(le(limit + calls)),
                        "{count} VMs, {:?}, {}, from {served_from}",
                        order.role,
                        refusal.name
                    );
                }
            }
        }
    }
}

/// The bound on probes: one a second for each VM, whatever the fleet. No VM but relays and deputies makes a call without an
/// answer to a probe.
#[gtest]
fn a_vm_in_doubt_probes_once_a_second() {
    for count in [13, 30, 295] {
        let vms = vms(count);
        for vm in vms.values().step_by(1 + count / 15) {
            let order = SourceOrder::new(vm, &vms);
            for refusal in &REFUSALS {
                let doubt = run_doubt(&order, refusal, NEVER, at(16_000));
                let times = doubt.probes.windows(2).map(|pair| pair[1].since(pair[0]));
                let shortest = times.min().unwrap_or_default();
                expect_that!(shortest, ge(Duration::from_secs(1)), "{count} VMs");
                expect_that!(doubt.probes.len(), ge(14), "{count} VMs");
                if order.role == Role::Listener {
                    expect_that!(doubt.calls, is_empty(), "{count} VMs, {}", refusal.name);
                }
            }
        }
    }
}

/// Load pattern: the store answers stale reads and no others. Each VM calls it twice, and then all but relays and deputies
/// make 10 calls a second together.
#[gtest]
fn few_vms_press_on_a_store_that_answers_only_probes() {
    let refusal = Refusal {
        name: "stale reads only",
        answers_probes: true,
        ..REFUSALS[0]
    };
    for count in [30, 100, 295] {
        let vms = vms(count);
        let orders = vms.values().map(|vm| SourceOrder::new(vm, &vms));
        let listeners = orders.filter(|order| order.role == Role::Listener);
        let calls = listeners
            .map(|order| run_doubt(&order, &refusal, NEVER, at(20_000)).calls.len())
            .sum::<usize>();
        expect_that!(calls, le(2 * count + 20 * 10), "{count} VMs");
    }
}

/// Random members come and go 300 times while sources fail: a VM never listens to itself, to a VM that
/// is gone or to one that is no source of its own.
#[gtest]
fn a_vm_listens_only_to_its_sources() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let all = vms(100);
    let mut members = all.clone();
    let own = all.values().nth(17).unwrap();
    let mut source = StoreSource::new(at(0));
    let mut failed_at: HashMap<Ipv4Addr, Time> = HashMap::new();
    for step in 0..300 {
        let index = rng.random_range(0..all.len());
        let (name, vm) = all.iter().nth(index).unwrap();
        if *name != own.name && members.remove(name).is_none() {
            members.insert(name.clone(), vm.clone());
        }
        let now = at(step * 100);
        let order = SourceOrder::new(own, &members);
        let plan = source.plan(now, &order, Some(now));
        for ip in &plan.listen_to {
            let listened = members.values().find(|vm| vm.ip == *ip).unwrap();
            let is_relay = watches_store(listened, &members);
            let is_near = listened.data_centre == own.data_centre;
            expect_that!(is_relay || is_near, eq(true), "{ip}");
            let has_failed = |ip: &Ipv4Addr| {
                let at = failed_at.get(ip);
                at.is_some_and(|at| now.since(*at) <= Duration::from_millis(1_500))
            };
            let has_no_relay = order.relays.iter().all(has_failed);
            let may_be_deputy = plan.is_in_doubt || has_no_relay;
            expect_that!(is_relay || may_be_deputy, eq(true), "{ip}");
            expect_that!(*ip, not(eq(own.ip)));
            if rng.random_bool(0.2) {
                failed_at.insert(*ip, now);
                source.on_source_failed(now, *ip, now);
            } else if plan.is_in_doubt {
                source.on_source_word(now, *ip, now, RECENT);
            }
        }
    }
}

fn change(revision: u64) -> LoggedChange<u64> {
    LoggedChange {
        revision,
        bytes: 100,
        read_at: at(0),
        item: revision,
    }
}

/// A relay's log is filled in random steps, with overlaps and gaps. Whoever reads after a revision
/// gets every change since, or is told that there are gaps.
#[gtest]
fn a_reader_of_the_log_misses_no_change() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut log = ChangeLog::default();
        // Revisions that are changes; the others belong to items that nobody reads.
        let is_change = |revision: u64| !(revision * 7 + seed).is_multiple_of(3);
        let mut known: u64 = 0;
        for _ in 0..rng.random_range(1..400) {
            let after = match rng.random_range(0..20) {
                0 => known + rng.random_range(0..30),
                1 => known.saturating_sub(rng.random_range(0..10)),
                _ => known,
            };
            let until = after + rng.random_range(0..20);
            let revisions = (after + 1..=until).filter(|revision| is_change(*revision));
            log.extend(after, until, revisions.map(change));
            known = known.max(until);
            if rng.random_bool(0.01) {
                log.reset(known);
            }
            let from = rng.random_range(0..=known);
            if let Some(changes) = log.since(from) {
                let changes: Vec<u64> = changes.map(|change| change.revision).collect();
                let expected: Vec<u64> = (from + 1..=log.revision())
                    .filter(|revision| is_change(*revision))
                    .collect();
                expect_that!(changes, eq(&expected), "seed {seed}, after {from}");
            }
        }
    }
}

#[gtest]
fn the_log_is_bounded() {
    let mut log = ChangeLog::default();
    log.extend(0, 5_000, (1..=5_000).map(change));
    expect_that!(log.since(0).is_none(), eq(true));
    expect_that!(log.since(4_999).map(Iterator::count), some(eq(1)));
    let large = |revision| LoggedChange {
        bytes: 3 * 1024 * 1024,
        ..change(revision)
    };
    log.extend(5_000, 5_002, [large(5_001), large(5_002)]);
    expect_that!(log.since(5_001).map(Iterator::count), some(eq(1)));
    expect_that!(log.since(5_000).is_none(), eq(true));
}

#[gtest]
fn listeners_are_divided_evenly() {
    let (listeners, _) = listeners(&vms(295));
    let most = listeners.values().copied().max().unwrap();
    let mean = 285 / listeners.len();
    expect_that!(most, le(mean * 2));
    expect_that!(listeners.len(), eq(10));
}
