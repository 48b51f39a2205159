//! Guards a VM's view of the platform's store: the order of changes, and outages of the store.

use std::sync::Arc;

use bytes::Bytes;
use googletest::prelude::*;
use primrosewalk::decisions::store_view::{
    ScheduledEntry, SnapshotEntry, StoreChange, StoreView, StoreViewConfig,
};
use primrosewalk::fleet::model::{CallerLimits, Configuration, Endpoint};
use primrosewalk::fleet::peer_state::{decode_state, encode_state};
use primrosewalk::fleet::view::FleetView;
use slog::{Discard, Logger, o};

use crate::{at, endpoint};

/// Returns a change to a configuration of the given version.
pub fn configuration(version: u64) -> StoreChange {
    StoreChange::Configuration(Arc::new(Configuration {
        version,
        routes: Default::default(),
        services: Default::default(),
        api_keys: Default::default(),
        unusable_keys: Default::default(),
        findings: Default::default(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Default::default(),
            idle_timeout: Default::default(),
        },
        document: Bytes::new(),
    }))
}

/// Returns a change of an endpoint's entry; no endpoint means that the entry was removed.
pub fn entry(name: &str, revision: u64, endpoint: Option<&Arc<Endpoint>>) -> StoreChange {
    StoreChange::Endpoint {
        id: name.to_owned(),
        revision,
        endpoint: endpoint.cloned(),
    }
}

/// Returns a change of the evacuation of data centre `a`.
pub fn evacuation(revision: u64, is_evacuated: bool) -> StoreChange {
    StoreChange::Evacuation {
        data_centre: "a".to_owned(),
        revision,
        is_evacuated,
    }
}

/// Returns the sorted ids of the endpoints that may get requests.
pub fn usable_endpoints(view: &StoreView) -> Vec<String> {
    let mut fleet_view = FleetView::default();
    fleet_view.set_store(view);
    let mut ids: Vec<String> = fleet_view
        .endpoints
        .values()
        .flatten()
        .map(|endpoint| endpoint.id.to_string())
        .collect();
    ids.sort();
    ids
}

fn view() -> StoreView {
    StoreView::new(StoreViewConfig::default())
}

/// Sends the state of one VM to another, encoded as on the wire.
pub fn send_state(now_ms: u64, from: &StoreView, to: &mut StoreView) {
    let state = encode_state(at(now_ms), &from.snapshot());
    let snapshot = decode_state(&Logger::root(Discard, o!()), at(now_ms), state);
    to.apply_snapshot(at(now_ms), snapshot);
}

#[gtest]
fn a_configuration_never_goes_back() {
    let mut view = view();
    for (version, expected) in [(5, true), (4, false), (5, false), (9, true), (7, false)] {
        let is_applied = view.apply(at(0), configuration(version));
        expect_that!(is_applied, eq(expected), "version {version}");
    }
    expect_that!(view.configuration().unwrap().version, eq(9));
}

#[gtest]
fn an_older_change_of_an_endpoint_is_not_applied() {
    let one = endpoint("e-1", "a");
    let mut leaving = Endpoint::clone(&one);
    leaving.is_ready = false;
    let leaving = Arc::new(leaving);
    let mut view = view();
    view.apply(at(0), entry("e-1", 5, Some(&one)));
    view.apply(at(0), entry("e-1", 7, Some(&leaving)));
    expect_that!(usable_endpoints(&view), is_empty());
    expect_that!(view.apply(at(0), entry("e-1", 6, Some(&one))), eq(false));
    expect_that!(usable_endpoints(&view), is_empty());
}

#[gtest]
fn a_listing_removes_what_it_lacks() {
    let (one, two) = (endpoint("e-1", "a"), endpoint("e-2", "b"));
    let mut view = view();
    let listing = vec![entry("e-1", 1, Some(&one)), entry("e-2", 2, Some(&two))];
    view.apply_listing(at(0), listing, 2);
    view.apply(at(1), evacuation(3, true));
    expect_that!(usable_endpoints(&view), elements_are![eq("e-2")]);
    view.apply_listing(at(9), vec![entry("e-1", 1, Some(&one))], 8);
    expect_that!(usable_endpoints(&view), elements_are![eq("e-1")]);
}

#[gtest]
fn an_evacuation_holds_until_it_is_cancelled() {
    let one = endpoint("e-1", "a");
    let mut view = view();
    view.apply(at(0), entry("e-1", 1, Some(&one)));
    view.apply(at(0), evacuation(4, true));
    expect_that!(usable_endpoints(&view), is_empty());
    view.apply(at(0), evacuation(3, false));
    expect_that!(usable_endpoints(&view), is_empty());
    view.apply(at(0), evacuation(6, false));
    expect_that!(usable_endpoints(&view), elements_are![eq("e-1")]);
}

/// Endpoint registrations expire while the store is down, and live endpoints register again
/// afterwards. Until they have had time for it, their entries still count.
#[gtest]
fn entries_that_lapsed_in_an_outage_count_until_endpoints_can_register_again() {
    let (one, two) = (endpoint("e-1", "a"), endpoint("e-2", "b"));
    let mut view = view();
    let listing = vec![entry("e-1", 1, Some(&one)), entry("e-2", 2, Some(&two))];
    view.apply_listing(at(0), listing, 2);
    view.on_unreachable(at(1_000), at(1_000));
    view.on_answer(at(6_000), at(6_000));
    view.apply_listing(at(6_000), Vec::new(), 9);
    expect_that!(usable_endpoints(&view), elements_are![eq("e-1"), eq("e-2")]);
    view.apply(at(7_000), entry("e-1", 10, Some(&one)));
    expect_that!(view.expire(at(8_400)), eq(true));
    expect_that!(usable_endpoints(&view), elements_are![eq("e-1")]);
}

/// Without an outage of the store, the removal of an entry takes effect at once.
#[gtest]
fn a_removed_endpoint_gets_nothing_more() {
    let one = endpoint("e-1", "a");
    let mut view = view();
    view.apply(at(0), entry("e-1", 1, Some(&one)));
    view.apply(at(10), entry("e-1", 2, None));
    expect_that!(usable_endpoints(&view), is_empty());
}

/// A watch that fails for a short time is no outage: no registration can expire in that time, so a
/// removed entry is not kept.
#[gtest]
fn a_short_loss_of_the_store_keeps_no_removed_entry() {
    let one = endpoint("e-1", "a");
    let mut view = view();
    view.apply(at(0), entry("e-1", 1, Some(&one)));
    view.on_unreachable(at(100), at(100));
    view.on_answer(at(500), at(500));
    view.apply(at(600), entry("e-1", 2, None));
    expect_that!(usable_endpoints(&view), is_empty());
}

/// A VM that returns to the store keeps removed endpoints for a while. Its state must not bring them
/// back at a VM that knows of their removal.
#[gtest]
fn a_removed_endpoint_is_not_restored_by_the_state_of_a_returning_vm() {
    let (one, two) = (endpoint("e-1", "a"), endpoint("e-2", "b"));
    let listing = vec![entry("e-1", 1, Some(&one)), entry("e-2", 2, Some(&two))];
    let (mut returning, mut steady) = (view(), view());
    returning.apply_listing(at(0), listing.clone(), 2);
    steady.apply_listing(at(0), listing, 2);
    returning.on_unreachable(at(1_000), at(1_000));
    steady.apply(at(8_500), entry("e-1", 5, None));
    returning.on_answer(at(9_000), at(9_000));
    let changes = [entry("e-1", 5, None), entry("e-2", 6, Some(&two))];
    returning.apply_changes(at(9_000), changes, 6);
    send_state(9_500, &returning, &mut steady);
    expect_that!(usable_endpoints(&steady), elements_are![eq("e-2")]);
}

/// A VM that cannot reach the store gets its endpoints from others. It has to learn which of them
/// drain, and which can be used again after the evacuation of their data centre.
#[gtest]
fn the_state_of_another_vm_includes_endpoints_that_are_not_usable_now() {
    let (one, two) = (endpoint("e-1", "a"), endpoint("e-2", "b"));
    let mut leaving = Endpoint::clone(&two);
    leaving.is_ready = false;
    let (mut steady, mut cut_off) = (view(), view());
    let listing = vec![entry("e-1", 1, Some(&one)), entry("e-2", 2, Some(&two))];
    cut_off.apply_listing(at(0), listing.clone(), 2);
    steady.apply_listing(at(0), listing, 2);
    let leaving = entry("e-2", 4, Some(&Arc::new(leaving)));
    steady.apply_changes(at(100), [evacuation(3, true), leaving], 4);
    send_state(500, &steady, &mut cut_off);
    expect_that!(usable_endpoints(&cut_off), is_empty());
    cut_off.apply_changes(at(900), [evacuation(5, false)], 5);
    expect_that!(usable_endpoints(&cut_off), elements_are![eq("e-1")]);
}

/// After an outage of the store for all VMs, the one that returns first tells the others. Those that
/// cannot reach the store yet keep what it keeps, and no longer.
#[gtest]
fn entries_that_lapsed_in_an_outage_expire_at_all_vms() {
    let one = endpoint("e-1", "a");
    let (mut first, mut second) = (view(), view());
    for view in [&mut first, &mut second] {
        view.apply_listing(at(0), vec![entry("e-1", 1, Some(&one))], 1);
        view.on_unreachable(at(1_000), at(1_000));
    }
    first.on_answer(at(6_000), at(6_000));
    first.apply_changes(at(6_000), [entry("e-1", 4, None)], 4);
    send_state(6_500, &first, &mut second);
    expect_that!(usable_endpoints(&second), elements_are![eq("e-1")]);
    second.expire(at(8_400));
    expect_that!(usable_endpoints(&second), is_empty());
}

/// Guards against requests to an endpoint that left: a VM that has the store takes an entry as
/// removed even if the VM that tells it of the removal keeps the entry.
#[gtest]
fn a_vm_that_has_the_store_keeps_no_entry_for_a_returning_vm() {
    let one = endpoint("e-1", "a");
    let (mut returning, mut steady) = (view(), view());
    for view in [&mut returning, &mut steady] {
        view.apply_listing(at(0), vec![entry("e-1", 1, Some(&one))], 1);
    }
    returning.on_unreachable(at(1_000), at(1_000));
    returning.on_answer(at(6_000), at(6_000));
    returning.apply_changes(at(6_000), [entry("e-1", 4, None)], 4);
    send_state(6_500, &returning, &mut steady);
    expect_that!(usable_endpoints(&steady), is_empty());
}

/// Guards against endpoints that stay listed for good: an answer of the store that another VM's
/// state has overtaken must not add what was removed since, as no later change removes it again.
#[gtest]
fn an_answer_of_the_store_that_a_newer_state_overtook_adds_no_endpoint() {
    struct Case {
        name: &'static str,
        apply: fn(&mut StoreView, StoreChange),
    }
    let cases = [
        Case {
            name: "watch",
            apply: |view, change| {
                view.apply_changes(at(200), [change], 3);
            },
        },
        Case {
            name: "listing",
            apply: |view, change| {
                view.apply_listing(at(200), vec![change], 3);
            },
        },
    ];
    for Case { name, apply } in cases {
        let (mut steady, mut late) = (view(), view());
        steady.apply_changes(at(0), [entry("e-1", 3, Some(&endpoint("e-1", "a")))], 3);
        steady.apply_changes(at(100), [entry("e-1", 4, None)], 4);
        send_state(150, &steady, &mut late);
        apply(&mut late, entry("e-1", 3, Some(&endpoint("e-1", "a"))));
        expect_that!(usable_endpoints(&late), is_empty(), "{name}");
    }
}

/// Guards against requests to endpoints that left: only an outage of the store itself keeps
/// endpoints from registering, and a VM that was cut off alone keeps no removed entry on its return.
#[gtest]
fn a_vm_that_was_cut_off_alone_keeps_no_endpoint_that_left() {
    struct Case {
        name: &'static str,
        /// Times and revisions of other VMs' reports during the outage from 1,000 ms to 9,000 ms.
        reports: &'static [(u64, u64)],
        /// Time until which an entry that was removed by the return is kept.
        kept_until_ms: u64,
    }
    let cases = [
        Case {
            name: "no VM reaches the store",
            reports: &[],
            kept_until_ms: 11_300,
        },
        Case {
            name: "a change from before the outage is reported late",
            reports: &[(1_500, 5)],
            kept_until_ms: 11_300,
        },
        Case {
            name: "another VM returns a little sooner",
            reports: &[(1_500, 5), (8_800, 6)],
            kept_until_ms: 11_100,
        },
        Case {
            name: "the other VMs have the store all the time",
            reports: &[(1_500, 5), (4_000, 6), (8_800, 9)],
            kept_until_ms: 9_000,
        },
    ];
    for case in cases {
        let mut view = view();
        let listing = vec![entry("e-1", 1, Some(&endpoint("e-1", "a")))];
        view.apply_listing(at(0), listing, 1);
        view.on_unreachable(at(1_000), at(1_000));
        for (now_ms, revision) in case.reports {
            view.on_peer_position(at(*now_ms), *revision);
        }
        view.on_answer(at(9_000), at(9_000));
        view.apply_changes(at(9_000), [entry("e-1", 10, None)], 10);
        for now_ms in [9_000, 11_099, 11_100, 11_299, 11_300] {
            view.expire(at(now_ms));
            let is_kept = !usable_endpoints(&view).is_empty();
            expect_that!(
                is_kept,
                eq(now_ms < case.kept_until_ms),
                "{}, {now_ms}",
                case.name
            );
        }
    }
}

/// Guards against a return of the store that a VM notices late, since it learns of it from a relay: removed
/// entries are kept from the time at which the store answered the relay.
#[gtest]
fn the_return_of_the_store_counts_from_the_first_answer_to_a_relay() {
    struct Case {
        name: &'static str,
        /// Time at which the store last may have answered this VM; it notices the outage at 3,000 ms.
        silent_since_ms: u64,
        /// Time since which the store has answered the relay whose word arrives at 6,000 ms.
        answering_since_ms: u64,
        /// Time until which an entry that was removed by then is kept.
        kept_until_ms: u64,
    }
    let cases = [
        Case {
            name: "the relay has just got an answer",
            silent_since_ms: 3_000,
            answering_since_ms: 6_000,
            kept_until_ms: 8_300,
        },
        Case {
            name: "the relay has had answers for a second",
            silent_since_ms: 3_000,
            answering_since_ms: 5_000,
            kept_until_ms: 7_300,
        },
        Case {
            name: "the relay never lost the store",
            silent_since_ms: 3_000,
            answering_since_ms: 0,
            kept_until_ms: 6_000,
        },
        Case {
            name: "the silence began before it was noticed",
            silent_since_ms: 300,
            answering_since_ms: 6_000,
            kept_until_ms: 8_300,
        },
    ];
    for case in cases {
        let mut view = view();
        let listing = vec![entry("e-1", 1, Some(&endpoint("e-1", "a")))];
        view.apply_listing(at(0), listing, 1);
        view.on_unreachable(at(3_000), at(case.silent_since_ms));
        let length = view.on_answer(at(6_000), at(case.answering_since_ms));
        expect_that!(length, some(eq(at(6_000).since(at(case.silent_since_ms)))));
        view.apply_changes(at(6_000), [entry("e-1", 10, None)], 10);
        for now_ms in [6_000, 7_299, 7_300, 8_299, 8_300] {
            view.expire(at(now_ms));
            let is_kept = !usable_endpoints(&view).is_empty();
            expect_that!(
                is_kept,
                eq(now_ms < case.kept_until_ms),
                "{}, {now_ms}",
                case.name
            );
        }
    }
}

/// Guards against a view that grows with each new key of another writer for as long as its process runs.
#[gtest]
fn entries_that_never_named_an_endpoint_are_not_kept() {
    let mut view = view();
    let odd = |number: u64| entry(&format!("odd-{number}"), number, None);
    for number in 1..=500 {
        view.apply_changes(at(0), [odd(number)], number);
    }
    view.apply_listing(at(0), (501..=1_000).map(odd).collect(), 1_000);
    expect_that!(format!("{view:?}").contains("odd-"), eq(false));
}

/// Guards against a view that grows with each new entry of an endpoint, or evacuation, that goes again.
#[gtest]
fn items_that_are_gone_are_forgotten_and_do_not_come_back() {
    const ITEMS: u64 = 5_000;
    let mut view = view();
    let name = |number: u64| format!("n-{number}-");
    let listed = endpoint("n", "a");
    let evacuation = |number: u64, revision: u64, is_evacuated: bool| StoreChange::Evacuation {
        data_centre: format!("z-{number}-"),
        revision,
        is_evacuated,
    };
    view.apply_changes(at(0), [entry("e-1", 1, Some(&endpoint("e-1", "a")))], 1);
    view.apply_changes(at(0), [evacuation(0, 2, true)], 2);
    for number in 1..=ITEMS {
        let revision = number * 10;
        let added = [
            entry(&name(number), revision, Some(&listed)),
            evacuation(number, revision + 1, true),
        ];
        view.apply_changes(at(0), added, revision + 1);
        let removed = [
            entry(&name(number), revision + 2, None),
            evacuation(number, revision + 3, false),
        ];
        view.apply_changes(at(0), removed, revision + 3);
    }
    let text = format!("{view:?}");
    let is_known = |prefix: &str, number: u64| text.contains(&format!("\"{prefix}-{number}-\""));
    for prefix in ["n", "z"] {
        let known = (1..=ITEMS).filter(|number| is_known(prefix, *number));
        expect_that!(known.count(), le(2_048), "{prefix}");
    }
    expect_that!(is_known("n", 1), eq(false));
    expect_that!(is_known("n", ITEMS), eq(true));
    // What stands all the while stays.
    expect_that!(is_known("z", 0), eq(true));
    expect_that!(usable_endpoints(&view), eq(&vec!["e-1".to_owned()]));
    // A change that another VM has passed on late, and a state in which the removed entry is kept for a while.
    let late = [entry(&name(1), 10, Some(&listed))];
    expect_that!(view.apply_changes(at(0), late, 11), eq(false));
    view.on_unreachable(at(10), at(5));
    let position = view.position.revision + 1;
    let mut state = view.snapshot();
    state.position = position.into();
    state.entries.push(SnapshotEntry {
        id: name(1),
        revision: 12,
        endpoint: Some(listed),
        next: Some(ScheduledEntry {
            at: at(60_000),
            endpoint: None,
        }),
    });
    view.apply_snapshot(at(20), state);
    expect_that!(view.position.revision, eq(position));
    expect_that!(usable_endpoints(&view), eq(&vec!["e-1".to_owned()]));
}
