//! Guards a VM's view of a store that comes back from an older copy: revisions go back and are given out again, and
//! what was written since the copy is written anew.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::change_log::{ChangeLog, LoggedChange};
use primrosewalk::decisions::revision_lag::{RevisionLag, StoreProgress};
use primrosewalk::decisions::store_view::{StoreChange, StoreView, StoreViewConfig};
use primrosewalk::fleet::model::Endpoint;
use primrosewalk::units::{StoreEra, StorePosition};

use crate::store_view::{configuration, entry, evacuation, send_state, usable_endpoints};
use crate::{at, endpoint};

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: Some(StoreEra(era)),
        revision,
    }
}

/// Returns an endpoint as [`endpoint`] does, in the given state and started at the given time.
fn endpoint_with(name: &str, is_ready: bool, started_ms: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        is_ready,
        started_ms,
        ..Endpoint::clone(&endpoint(name, "b"))
    })
}

/// Returns a view that has followed the store to revision 100 of era 1.
fn followed(changes: Vec<StoreChange>) -> StoreView {
    let mut view = StoreView::new(StoreViewConfig::default());
    view.apply_listing(at(0), changes, position(1, 100));
    view
}

#[gtest]
fn what_is_known_of_an_endpoint_holds_against_an_older_copy() {
    const READY: Option<(bool, u64)> = Some((true, 7));
    const DRAINING: Option<(bool, u64)> = Some((false, 7));
    const UNKNOWN: Option<(bool, u64)> = Some((true, 0));
    const STARTED_AGAIN: Option<(bool, u64)> = Some((true, 8));
    struct Case {
        name: &'static str,
        /// State and start of the endpoint as this VM knows it: `None` if it has left, [`UNKNOWN`] if this VM never
        /// knew it.
        known: Option<(bool, u64)>,
        /// Revision, state and start of its entry in the listing after the return, if it is there.
        listed: Option<(u64, Option<(bool, u64)>)>,
        /// Whether it is used at once, 2.3 s and 6 s after the return.
        is_used: [bool; 3],
    }
    let cases = [
        Case {
            name: "it left after the copy",
            known: None,
            listed: Some((90, READY)),
            is_used: [false, false, true],
        },
        Case {
            name: "it left, and has started again",
            known: None,
            listed: Some((90, STARTED_AGAIN)),
            is_used: [true, true, true],
        },
        Case {
            name: "it left, and its entry is newer than all that was known",
            known: None,
            listed: Some((101, READY)),
            is_used: [true, true, true],
        },
        Case {
            name: "it drains since the copy",
            known: DRAINING,
            listed: Some((90, READY)),
            is_used: [false, false, true],
        },
        Case {
            name: "it began to drain in the new era",
            known: READY,
            listed: Some((90, DRAINING)),
            is_used: [false, false, false],
        },
        Case {
            name: "it registered after the copy",
            known: READY,
            listed: None,
            is_used: [true, false, false],
        },
        Case {
            name: "it was not listed at the last known revision",
            known: UNKNOWN,
            listed: Some((90, READY)),
            is_used: [false, false, true],
        },
        Case {
            name: "nothing changed",
            known: READY,
            listed: Some((90, READY)),
            is_used: [true, true, true],
        },
    ];
    for case in cases {
        let change = |revision, state: Option<(bool, u64)>| {
            let endpoint = state.map(|(is_ready, started)| endpoint_with("e-1", is_ready, started));
            entry("e-1", revision, endpoint.as_ref())
        };
        let is_unknown = case.known == UNKNOWN;
        let known_before = (!is_unknown).then(|| change(80, READY));
        let mut view = followed(known_before.into_iter().collect());
        if !is_unknown && case.known != READY {
            view.apply(at(100), change(95, case.known));
        }
        let listing = case.listed.map(|(revision, state)| change(revision, state));
        let listing = listing.into_iter().collect();
        let is_applied = view.apply_listing(at(1_000), listing, position(2, 92));
        expect_that!(is_applied, eq(true));
        let times_ms = [1_000, 3_300, 7_000];
        let is_used = times_ms.map(|time_ms| {
            view.expire(at(time_ms));
            !usable_endpoints(&view).is_empty()
        });
        expect_that!(is_used, eq(case.is_used), "{}", case.name);
    }
}

/// Guards against endpoints that are kept back though they have registered again.
#[gtest]
fn a_change_in_the_new_era_counts_at_once() {
    let one = endpoint_with("e-1", true, 7);
    let mut view = followed(vec![entry("e-1", 80, Some(&one))]);
    view.apply(at(100), entry("e-1", 95, None));
    view.apply_listing(
        at(1_000),
        vec![entry("e-1", 80, Some(&one))],
        position(2, 85),
    );
    expect_that!(usable_endpoints(&view), is_empty());
    view.apply_changes(at(1_500), [entry("e-1", 86, Some(&one))], position(2, 86));
    expect_that!(usable_endpoints(&view), elements_are![eq("e-1")]);
    view.apply_changes(at(1_600), [entry("e-1", 87, None)], position(2, 87));
    view.expire(at(3_300));
    expect_that!(usable_endpoints(&view), is_empty());
}

#[gtest]
fn an_evacuation_outlasts_an_older_copy_until_it_is_requested_again() {
    struct Case {
        name: &'static str,
        known: bool,
        is_listed: bool,
        /// Change of the evacuation in the new era, if there is one.
        change: Option<bool>,
        /// Whether the data centre is evacuated at once, and 6 s after the return.
        is_evacuated: [bool; 2],
    }
    let cases = [
        Case {
            name: "requested after the copy, and again",
            known: true,
            is_listed: false,
            change: Some(true),
            is_evacuated: [true, true],
        },
        Case {
            name: "requested after the copy, and then ended",
            known: true,
            is_listed: false,
            change: None,
            is_evacuated: [true, false],
        },
        Case {
            name: "ended after the copy, and again",
            known: false,
            is_listed: true,
            change: Some(false),
            is_evacuated: [true, false],
        },
        Case {
            name: "as before",
            known: true,
            is_listed: true,
            change: None,
            is_evacuated: [true, true],
        },
    ];
    for case in cases {
        let mut view = followed(vec![evacuation(60, !case.known)]);
        view.apply(at(100), evacuation(95, case.known));
        let listing = case.is_listed.then(|| evacuation(60, true));
        view.apply_listing(at(1_000), listing.into_iter().collect(), position(2, 85));
        let at_once = view.evacuated().count() == 1;
        if let Some(is_evacuated) = case.change {
            view.apply_changes(at(1_200), [evacuation(86, is_evacuated)], position(2, 86));
        }
        view.expire(at(7_000));
        let later = view.evacuated().count() == 1;
        expect_that!([at_once, later], eq(case.is_evacuated), "{}", case.name);
    }
}

#[gtest]
fn word_of_another_era_is_not_taken_for_newer() {
    struct Case {
        name: &'static str,
        position: StorePosition,
        is_listing_applied: bool,
    }
    let cases = [
        Case {
            name: "a later era, lower revision",
            position: position(2, 40),
            is_listing_applied: true,
        },
        Case {
            name: "the same era, lower revision",
            position: position(1, 40),
            is_listing_applied: false,
        },
        Case {
            name: "an earlier era, higher revision",
            position: position(0, 400),
            is_listing_applied: false,
        },
        Case {
            name: "no era, as earlier builds say it",
            position: 400.into(),
            is_listing_applied: false,
        },
    ];
    for case in cases {
        let mut view = followed(vec![configuration(9)]);
        let added = endpoint_with("e-1", true, 7);
        let change = || entry("e-1", 40, Some(&added));
        if case.position.era != view.position.era {
            view.apply_changes(at(100), [change()], case.position);
            expect_that!(usable_endpoints(&view), is_empty(), "{}", case.name);
        }
        let listing = vec![change(), configuration(5)];
        let is_applied = view.apply_listing(at(200), listing, case.position);
        expect_that!(is_applied, eq(case.is_listing_applied), "{}", case.name);
        expect_that!(
            view.configuration().unwrap().version,
            eq(9),
            "{}",
            case.name
        );
    }
}

/// Guards against a VM that takes the copy for the newest state because it has just started: it learns from
/// another VM what has left, drains and is evacuated.
#[gtest]
fn the_state_of_another_vm_tells_a_starting_one_what_the_copy_lacks() {
    struct Case {
        name: &'static str,
        /// Whether the other VM has noticed the return before it sends its state.
        has_noticed: bool,
    }
    let cases = [
        Case {
            name: "before the return",
            has_noticed: false,
        },
        Case {
            name: "after the return",
            has_noticed: true,
        },
    ];
    for case in cases {
        let names = ["e-1", "e-2", "e-3"];
        let all = names.map(|name| endpoint_with(name, true, 7));
        let listing = || -> Vec<StoreChange> {
            let entries = all.iter().zip(80..);
            let entries =
                entries.map(|(one, revision)| entry(one.id.as_str(), revision, Some(one)));
            entries.collect()
        };
        let mut steady = followed(listing());
        let draining = endpoint_with("e-2", false, 7);
        let changes = [
            entry("e-1", 101, None),
            entry("e-2", 102, Some(&draining)),
            evacuation(103, true),
        ];
        steady.apply_changes(at(100), changes, position(1, 104));
        if case.has_noticed {
            steady.apply_listing(at(1_000), listing(), position(2, 90));
        }
        let mut starting = StoreView::new(StoreViewConfig::default());
        send_state(1_200, &steady, &mut starting);
        if !case.has_noticed {
            starting.apply_listing(at(1_300), listing(), position(2, 90));
        }
        expect_that!(
            usable_endpoints(&starting),
            elements_are![eq("e-3")],
            "{}",
            case.name
        );
        expect_that!(starting.evacuated().count(), eq(1), "{}", case.name);
        // The store lists them still when all that was lost has been written again.
        starting.expire(at(8_000));
        expect_that!(usable_endpoints(&starting).len(), eq(3), "{}", case.name);
        expect_that!(starting.evacuated().count(), eq(0), "{}", case.name);
    }
}

/// Guards against a VM that serves an older version for as long as the store lacks the newer one.
#[gtest]
fn the_state_of_a_vm_at_an_earlier_position_brings_its_newer_configuration() {
    let (newer, older) = (followed(vec![configuration(9)]), vec![configuration(5)]);
    let mut view = StoreView::new(StoreViewConfig::default());
    view.apply_listing(at(0), older, position(2, 90));
    expect_that!(view.apply_snapshot(at(100), newer.snapshot()), eq(true));
    expect_that!(view.configuration().unwrap().version, eq(9));
    expect_that!(view.position, eq(position(2, 90)));
    expect_that!(view.apply_snapshot(at(200), newer.snapshot()), eq(false));
}

/// Guards against a VM that stays behind because the revision that others report is lower than its own.
#[gtest]
fn a_vm_is_behind_one_in_a_later_era_or_with_a_newer_configuration() {
    struct Case {
        name: &'static str,
        reported: StoreProgress,
        is_behind: bool,
    }
    let progress = |position, configuration_version| StoreProgress {
        position,
        configuration_version,
    };
    let own = progress(position(2, 100), 5);
    let cases = [
        Case {
            name: "a later era",
            reported: progress(position(3, 40), 5),
            is_behind: true,
        },
        Case {
            name: "an earlier era",
            reported: progress(position(1, 400), 5),
            is_behind: false,
        },
        Case {
            name: "a newer configuration",
            reported: progress(position(2, 90), 6),
            is_behind: true,
        },
        Case {
            name: "an earlier build without an era",
            reported: progress(StorePosition::default(), 0),
            is_behind: false,
        },
    ];
    for case in cases {
        let mut lag = RevisionLag::default();
        let vm = Ipv4Addr::new(10, 0, 0, 1);
        let is_behind = lag.on_report(at(0), own, vm, case.reported);
        expect_that!(is_behind, eq(case.is_behind), "{}", case.name);
        let due_at = lag.due_at(own, Duration::from_millis(800));
        expect_that!(due_at.is_some(), eq(case.is_behind), "{}", case.name);
        expect_that!(
            lag.due_at(case.reported, Duration::ZERO),
            none(),
            "{}",
            case.name
        );
    }
}

/// Guards against a listener that misses changes: a log of another era says nothing about what it lacks.
#[gtest]
fn the_log_of_changes_answers_in_its_own_era_only() {
    let change = |revision| LoggedChange {
        revision,
        bytes: 1,
        read_at: at(0),
        item: revision,
    };
    let mut log = ChangeLog::default();
    log.extend(position(1, 90), 100, (91..=100).map(change));
    log.extend(position(2, 85), 105, (86..=105).map(change));
    expect_that!(log.position(), eq(position(2, 105)));
    let since = |after| log.since(after).map(Iterator::count);
    expect_that!(since(position(2, 85)), some(eq(20)));
    expect_that!(since(position(2, 100)), some(eq(5)));
    expect_that!(since(position(1, 100)), none());
    expect_that!(since(position(2, 84)), none());
    expect_that!(since(100.into()), none());
}

#[gtest]
fn a_position_reads_as_it_is_written() {
    for text in ["2/105", "105"] {
        let position: StorePosition = text.parse().unwrap();
        expect_that!(position.to_string(), eq(text));
    }
    for text in ["", "/", "2/", "x/5", "2/5/6"] {
        expect_that!(text.parse::<StorePosition>(), err(anything()), "{text:?}");
    }
}

/// Guards against endpoints that left and data centres that are evacuated, which a VM uses because it started while the
/// store had come back from an older copy, and read that before it met a VM that knew better.
#[gtest]
fn a_vm_that_has_read_the_copy_takes_over_what_others_hold() {
    let ready = endpoint_with("e-1", true, 7);
    let copy = || {
        vec![
            entry("e-1", 90, Some(&ready)),
            entry("e-2", 91, Some(&endpoint("e-2", "c"))),
        ]
    };
    let mut known = followed(vec![entry("e-1", 90, Some(&ready))]);
    known.apply(at(100), entry("e-1", 95, None));
    known.apply(at(100), entry("e-2", 96, Some(&endpoint("e-2", "c"))));
    known.apply(at(100), evacuation(97, true));
    known.apply_listing(at(1_000), copy(), position(2, 92));
    let mut started = StoreView::new(StoreViewConfig::default());
    started.apply_listing(at(1_200), copy(), position(2, 93));
    expect_that!(usable_endpoints(&started), eq(&vec!["e-1", "e-2"]));
    send_state(1_300, &known, &mut started);
    expect_that!(usable_endpoints(&started), eq(&vec!["e-2"]));
    expect_that!(started.evacuated().collect::<Vec<_>>(), eq(&vec!["a"]));
    // What the store reports ends the hold, and so does its time.
    let mut told = StoreView::new(StoreViewConfig::default());
    told.apply_listing(at(1_200), copy(), position(2, 93));
    told.apply_changes(at(1_250), [entry("e-1", 94, Some(&ready))], position(2, 94));
    told.apply_changes(at(1_250), [evacuation(95, false)], position(2, 95));
    send_state(1_300, &known, &mut told);
    expect_that!(usable_endpoints(&told), eq(&vec!["e-1", "e-2"]));
    expect_that!(told.evacuated().count(), eq(0));
    started.expire(at(7_100));
    expect_that!(usable_endpoints(&started), eq(&vec!["e-1", "e-2"]));
    expect_that!(started.evacuated().count(), eq(0));
}
