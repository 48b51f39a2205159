//! Guards the return of a whole fleet: what VMs that have just started do with requests while they know
//! neither the configuration nor each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::gossip::{Gossip, GossipConfig};
use primrosewalk::decisions::stage_groups::{GroupId, StageGroups};
use primrosewalk::decisions::warm_start::{WarmStart, WarmStartConfig, hold_until, return_after};
use primrosewalk::fleet::model::{FleetVm, VmSize};
use primrosewalk::units::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::gossip::{Fleet, ip};
use crate::{at, endpoint};

/// Something that a VM learns: the time in milliseconds after its start, and the number of VMs that it knows
/// then, itself included.
type Known = (u64, usize);

/// A start of a VM.
struct Case {
    name: &'static str,
    known: &'static [Known],
    /// Number of VMs according to another one, and when the VM hears of it.
    told: Option<(u64, usize)>,
    met_at_ms: u64,
}

const CASES: [Case; 6] = [
    Case {
        name: "a single VM of a running fleet restarts",
        known: &[(0, 1), (20, 25), (22, 49), (24, 76)],
        told: Some((20, 76)),
        met_at_ms: 24,
    },
    Case {
        name: "the fleet has VMs that have just died",
        known: &[(0, 1), (20, 70)],
        told: Some((20, 76)),
        met_at_ms: 20,
    },
    Case {
        name: "a whole fleet starts, and the VMs are heard of one by one",
        known: &[(0, 1), (90, 20), (180, 40), (260, 60), (300, 76)],
        told: None,
        met_at_ms: 190,
    },
    Case {
        name: "news of further VMs never ends",
        known: &[(0, 1), (450, 2), (490, 3), (530, 4), (570, 5), (610, 6)],
        told: None,
        met_at_ms: 500,
    },
    Case {
        name: "no other VM is heard of",
        known: &[(0, 1)],
        told: None,
        met_at_ms: 500,
    },
    Case {
        name: "a VM without seeds",
        known: &[(0, 1)],
        told: Some((0, 1)),
        met_at_ms: 0,
    },
];

#[gtest]
fn a_vm_goes_ahead_once_it_knows_its_fleet() {
    let config = WarmStartConfig::default();
    for case in &CASES {
        let mut warm_start = WarmStart::default();
        let met_at_ms = (0..2_000).find(|ms| {
            if let Some((told_at_ms, size)) = case.told
                && told_at_ms == *ms
            {
                warm_start.on_fleet_size(size);
            }
            let known = case.known.iter().rev().find(|(since_ms, _)| since_ms <= ms);
            warm_start.update(at(*ms), known.unwrap().1, &config)
        });
        expect_that!(met_at_ms, some(eq(case.met_at_ms)), "{}", case.name);
        expect_that!(warm_start.has_met(), eq(true), "{}", case.name);
        expect_that!(warm_start.due_at(&config), none(), "{}", case.name);
        let tells_at = |ms| warm_start.knows_fleet_size(at(ms));
        let tells = [case.met_at_ms, case.met_at_ms + 3_000].map(tells_at);
        expect_that!(tells, eq([false, true]), "{}", case.name);
    }
}

/// A VM that finds neither the store nor another VM must not keep callers until they leave, and those that
/// it refuses must not all return at the same moment.
#[gtest]
fn a_vm_without_a_configuration_holds_requests_for_a_short_time() {
    let deadline = |ms| Some(Duration::from_millis(ms));
    // Start, arrival, time that the caller leaves, and the end of the hold, in milliseconds.
    let cases = [
        (0, 0, None, 1_000),
        (0, 300, deadline(6_000), 1_000),
        (0, 300, deadline(400), 400),
        (0, 5_000, deadline(6_000), 1_000),
    ];
    for (started_ms, arrived_ms, time_left, until_ms) in cases {
        let until = hold_until(at(started_ms), at(arrived_ms), time_left);
        expect_that!(until, eq(at(until_ms)), "{arrived_ms} ms, {time_left:?}");
    }
    let returns = (0..1_000).map(|id| return_after(&format!("r{id}")).as_millis() / 100);
    let returns: Vec<u128> = returns.collect();
    for slice in 3..9 {
        let count = returns.iter().filter(|other| **other == slice).count();
        expect_that!(count, all!(ge(120), le(210)), "{} ms", slice * 100);
    }
}

/// Number of VMs that start.
const VMS: usize = 76;
/// VMs that start later than the others; all VMs have them as seeds.
const SEEDS: usize = 3;
/// Time within which the VMs start, and the delay of the seeds.
const START_SPREAD_MS: u64 = 300;
/// Time from the start of a VM until it has listed the store.
const LISTING_MS: u64 = 300;
/// Requests that arrive in each millisecond from the start of the first VM on: 1.5 times the load.
const REQUESTS_PER_MS: f64 = 0.6;
/// Time for which requests arrive.
const LOAD_MS: u64 = 1_500;

/// What became of the requests that arrived while the fleet started.
#[derive(Debug, Default)]
struct Outcome {
    refused: usize,
    placed: usize,
    /// Stage jobs that were queued by the VM which all VMs take for the owner in the end.
    at_owner: usize,
    /// VMs that have queued jobs.
    queues: BTreeSet<usize>,
    /// Longest time for which a request was held.
    held_ms: u64,
    /// Fewest VMs that a directory answer named.
    fewest_addresses: Option<usize>,
}

fn new_vm(index: usize, seed: u64) -> Gossip {
    let cpu_millicores = if index.is_multiple_of(10) { 500 } else { 120 };
    let vm = FleetVm {
        name: format!("vm-{index}").parse().unwrap(),
        ip: ip(index),
        data_centre: format!("dc-{}", index % 4).parse().unwrap(),
        size: VmSize {
            cpu_millicores,
            ..VmSize::default()
        },
    };
    let rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + index as u64);
    let seeds = (0..SEEDS).map(ip);
    Gossip::new(GossipConfig::default(), vm, 1, seeds, rng)
}

/// Returns the position of the VM that owns the only group according to a VM, if it knows any VM.
fn owner(groups: &StageGroups, vm: &Gossip) -> Option<usize> {
    let service: ServiceName = "s".parse().unwrap();
    let mut groups = groups.clone();
    groups.assign_owners(vm.serving());
    let group = groups.get(&GroupId::whole(service))?;
    let owner = group.owners.first()?.name.to_string();
    owner.strip_prefix("vm-")?.parse().ok()
}

/// Replays the start of all VMs under load, in which each request is a stage job. `waits` selects the rule:
/// requests wait for the configuration and for the VMs to meet, and are passed on once; or each VM goes
/// by what it knows at once.
fn replay(waits: bool, seed: u64) -> Outcome {
    let endpoints: Vec<_> = (0..16)
        .map(|index| endpoint(&format!("e{index}"), "dc-0"))
        .collect();
    let service: ServiceName = "s".parse().unwrap();
    let groups = StageGroups::new([&service], &endpoints, |_| &endpoints);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start_ms: Vec<u64> = (0..VMS)
        .map(|index| match index < SEEDS {
            true => START_SPREAD_MS,
            false => rng.random_range(0..START_SPREAD_MS),
        })
        .collect();
    let mut fleet = Fleet::new(0, seed);
    fleet.vms = (0..VMS).map(|_| None).collect();
    let mut outcome = Outcome::default();
    let mut held: Vec<(u64, usize)> = Vec::new();
    let mut owners_by_count: BTreeMap<usize, usize> = BTreeMap::new();
    while fleet.now_ms < 3_000 {
        let now_ms = fleet.now_ms;
        for (index, start_ms) in start_ms.iter().enumerate() {
            if (*start_ms..start_ms + 10).contains(&now_ms) {
                fleet.vms[index] = Some(new_vm(index, seed));
            }
            let listed_at = start_ms + LISTING_MS;
            if (listed_at..listed_at + 10).contains(&now_ms)
                && let Some(vm) = &mut fleet.vms[index]
            {
                let outgoing = vm.set_serving(true);
                fleet.send(index, outgoing);
            }
        }
        let running = |index: &usize| fleet.vms[*index].is_some();
        let running: Vec<usize> = (0..VMS).filter(running).collect();
        if now_ms < LOAD_MS && !running.is_empty() {
            let count = (REQUESTS_PER_MS * 10.0) as usize;
            held.extend((0..count).map(|_| (now_ms, running[rng.random_range(0..running.len())])));
        }
        held.retain(|(arrived_ms, at_vm)| {
            let vm = fleet.vms[*at_vm].as_ref().unwrap();
            let is_configured = vm.serving().any(|serving| serving.ip == ip(*at_vm));
            if !is_configured || waits && !vm.has_met() {
                outcome.refused += usize::from(!waits);
                return waits;
            }
            let Some(first) = owner(&groups, vm) else {
                return true;
            };
            // A VM that is not known to have a configuration is named by none.
            let passed_on = fleet.vms[first].as_ref().filter(|_| waits);
            let queue = passed_on.and_then(|vm| owner(&groups, vm)).unwrap_or(first);
            *owners_by_count.entry(queue).or_default() += 1;
            outcome.queues.insert(queue);
            outcome.placed += 1;
            outcome.held_ms = outcome.held_ms.max(now_ms - arrived_ms);
            false
        });
        for index in running {
            let vm = fleet.vms[index].as_ref().unwrap();
            let named = vm.serving().count();
            if named > 0 && (!waits || vm.has_met()) {
                let fewest = outcome.fewest_addresses.unwrap_or(VMS).min(named);
                outcome.fewest_addresses = Some(fewest);
            }
        }
        fleet.run(10);
    }
    let last = owner(&groups, fleet.vms[0].as_ref().unwrap()).unwrap();
    outcome.at_owner = owners_by_count.get(&last).copied().unwrap_or(0);
    outcome
}

/// After all VMs have lost power, a VM that goes by what it knows at once refuses what arrives before it
/// has a configuration, and queues stage jobs itself that belong to another VM.
#[gtest]
fn a_fleet_that_returns_refuses_nothing_and_shares_its_queues() {
    let (mut queues_before, mut queues_now) = (0, 0);
    for seed in 0..10 {
        let (before, now) = (replay(false, seed), replay(true, seed));
        println!("seed {seed}\n  before {before:?}\n  now {now:?}");
        expect_that!(now.refused, eq(0), "seed {seed}");
        expect_that!(now.placed, ge(before.placed), "seed {seed}");
        expect_that!(now.held_ms, le(600), "seed {seed}");
        queues_before += before.queues.len();
        queues_now += now.queues.len();
    }
    expect_that!(queues_now * 2, lt(queues_before));
}
