//! Guards from whom a VM learns of changes of the store, and the log from which relays pass them on.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;

use googletest::prelude::*;
use primrosewalk::decisions::change_log::{ChangeLog, LoggedChange};
use primrosewalk::decisions::store_source::{Source, StoreSource, watches_store};
use primrosewalk::fleet::model::{FleetVm, VmSize};
use primrosewalk::units::VmId;
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

/// Returns how many listeners each relay has, and how many VMs watch the store.
fn listeners(vms: &BTreeMap<VmId, FleetVm>) -> (HashMap<Ipv4Addr, usize>, usize) {
    let mut listeners = HashMap::new();
    let mut watching = 0;
    for vm in vms.values() {
        match StoreSource::default().choose(at(0), vm, vms) {
            Source::Store => watching += 1,
            Source::Nobody(_) => panic!("no relay has failed"),
            Source::Relay(ip) => *listeners.entry(ip).or_default() += 1,
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
        let Source::Relay(ip) = StoreSource::default().choose(at(0), vm, &vms) else {
            continue;
        };
        let relay = vms.values().find(|relay| relay.ip == ip).unwrap();
        expect_that!(relay.size.link_mbit_per_s, eq(200));
        expect_that!(relay.data_centre, eq(&vm.data_centre));
        expect_that!(watches_store(relay, &vms), eq(true));
    }
}

/// Relays fail one after the other, as when they freeze or lose the store: the VM turns to each of the
/// others at once, then to the store, and to relays again after a while.
#[gtest]
fn a_vm_whose_relays_fail_asks_the_store_itself() {
    let vms = vms(295);
    let listener = vms.values().find(|vm| !watches_store(vm, &vms)).unwrap();
    let mut source = StoreSource::default();
    let mut asked = HashSet::new();
    while let Source::Relay(ip) = source.choose(at(0), listener, &vms) {
        expect_that!(asked.insert(ip), eq(true), "{ip} had failed");
        source.on_relay_failed(at(0), ip);
    }
    expect_that!(asked.len(), eq(4));
    let data_centres: HashSet<_> = vms
        .values()
        .filter(|vm| asked.contains(&vm.ip))
        .map(|vm| &vm.data_centre)
        .collect();
    expect_that!(data_centres.len(), ge(2));
    for ip in asked {
        source.on_relay_failed(at(1_400), ip);
    }
    expect_that!(source.choose(at(2_500), listener, &vms), eq(Source::Store));
    source.on_answer();
    expect_that!(source.choose(at(6_400), listener, &vms), eq(Source::Store));
    let later = source.choose(at(6_600), listener, &vms);
    expect_that!(later, matches_pattern!(Source::Relay(anything())));
}

/// A relay returns from a cut while its former listeners follow another one: it gets none of them,
/// since it may be cut off again.
#[gtest]
fn a_relay_that_works_is_kept() {
    let vms = vms(295);
    let listener = vms.values().find(|vm| !watches_store(vm, &vms)).unwrap();
    let mut source = StoreSource::default();
    let Source::Relay(first) = source.choose(at(0), listener, &vms) else {
        panic!("the VM is a relay itself");
    };
    source.on_relay_failed(at(0), first);
    let second = source.choose(at(10), listener, &vms);
    expect_that!(second, not(eq(Source::Relay(first))));
    expect_that!(source.choose(at(60_000), listener, &vms), eq(second));
}

/// The store turns away one relay and serves the others.
#[gtest]
fn a_relay_that_the_store_turns_away_listens_to_others() {
    let vms = vms(295);
    let relay = vms.values().find(|vm| watches_store(vm, &vms)).unwrap();
    let mut source = StoreSource::default();
    expect_that!(source.choose(at(0), relay, &vms), eq(Source::Store));
    source.on_store_failed(at(0));
    let other = source.choose(at(10), relay, &vms);
    expect_that!(other, matches_pattern!(Source::Relay(not(eq(relay.ip)))));
    expect_that!(source.choose(at(1_100), relay, &vms), eq(Source::Store));
}

/// Load pattern: the store is down for all for 16 s and a call to it takes 1 s. Few VMs but the relays
/// press on it, and each VM asks a relay again soon, since a relay notices the return first.
#[gtest]
fn few_vms_press_on_a_store_that_is_down() {
    let vms = vms(295);
    let mut direct_calls = 0;
    let listeners = vms.values().filter(|vm| !watches_store(vm, &vms));
    let listeners: Vec<_> = listeners.step_by(10).collect();
    for vm in &listeners {
        let mut source = StoreSource::default();
        let mut now_ms = 0;
        let mut asked_relay_ms = 0;
        while now_ms < 16_000 {
            match source.choose(at(now_ms), vm, &vms) {
                Source::Relay(ip) => {
                    expect_that!(now_ms - asked_relay_ms, le(2_600), "{}", vm.name);
                    asked_relay_ms = now_ms;
                    source.on_relay_failed(at(now_ms), ip);
                }
                Source::Store => {
                    direct_calls += 1;
                    now_ms += 1_000;
                    source.on_store_failed(at(now_ms));
                }
                Source::Nobody(until) => {
                    let until_ms = until.since(at(0)).as_millis() as u64 + 1;
                    expect_that!(until_ms, gt(now_ms));
                    now_ms = until_ms;
                }
            }
        }
    }
    // The first call, and one in 6 s after it.
    expect_that!(direct_calls, le(listeners.len() * 4));
}

/// Random members come and go 300 times while relays fail: a VM never listens to itself, to a VM that
/// is gone or to one that does not watch the store.
#[gtest]
fn a_vm_listens_only_to_relays() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let all = vms(100);
    let mut members = all.clone();
    let own = all.values().nth(17).unwrap();
    let mut source = StoreSource::default();
    for step in 0..300 {
        let index = rng.random_range(0..all.len());
        let (name, vm) = all.iter().nth(index).unwrap();
        if *name != own.name && members.remove(name).is_none() {
            members.insert(name.clone(), vm.clone());
        }
        let now = at(step * 100);
        let Source::Relay(ip) = source.choose(now, own, &members) else {
            continue;
        };
        let relay = members.values().find(|vm| vm.ip == ip);
        expect_that!(
            relay.is_some_and(|vm| watches_store(vm, &members)),
            eq(true)
        );
        expect_that!(ip, not(eq(own.ip)));
        if rng.random_bool(0.2) {
            source.on_relay_failed(now, ip);
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
