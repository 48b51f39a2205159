//! Guards how a listing of the store is assembled from its pages, and which VMs of a fleet that starts list the store.

use googletest::prelude::*;
use primrosewalk::decisions::listing::{Listing, ListingFault, ListingPage};
use primrosewalk::decisions::store_source::{
    Role, SourceList, SourceOrder, SourceWord, StoreCall, StoreSource,
};
use primrosewalk::units::{StoreEra, StorePosition};

use crate::at;

/// A page of items that are named by their keys.
fn page_of(keys: &[&str], has_more: bool) -> ListingPage<String> {
    let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
    ListingPage {
        items: keys.clone(),
        keys,
        has_more,
        position: StorePosition::from(7),
    }
}

fn page(key: &str, has_more: bool) -> ListingPage<String> {
    page_of(&[key], has_more)
}

/// Adds a page as the answer to the call that the listing makes now.
fn add(
    listing: &mut Listing<String>,
    page: ListingPage<String>,
) -> std::result::Result<(), ListingFault> {
    let after = listing.after().map(str::to_owned);
    listing.add(at(0), after.as_deref(), page)
}

fn stuck(after: &str) -> ListingFault {
    ListingFault::NoProgress {
        after: after.to_owned(),
    }
}

#[gtest]
fn a_listing_goes_on_after_the_last_key_of_each_page() {
    let mut listing = Listing::default();
    expect_that!(listing.after(), none());
    for (key, has_more, after) in [("a", true, "a"), ("b", true, "b"), ("c", false, "b")] {
        expect_that!(add(&mut listing, page(key, has_more)), ok(eq(&())));
        expect_that!(listing.after(), some(eq(after)));
        expect_that!(listing.is_complete(), eq(!has_more));
    }
    expect_that!(listing.pages(), eq(3));
    expect_that!(
        listing.into_items(),
        elements_are![eq("a"), eq("b"), eq("c")]
    );
}

/// A watch from a later page would miss what was changed behind the first one.
#[gtest]
fn a_listing_is_as_old_as_its_first_page() {
    let mut listing = Listing::default();
    let later = ListingPage {
        position: StorePosition::from(9),
        ..page("b", false)
    };
    expect_that!(listing.add(at(10), None, page("a", true)), ok(eq(&())));
    expect_that!(listing.add(at(900), Some("a"), later), ok(eq(&())));
    let first = Some((StorePosition::from(7), at(10)));
    expect_that!(listing.first(), eq(first));
}

/// Keys of a page, and the one after which the next page is asked for.
struct CursorCase {
    keys: &'static [&'static str],
    after: &'static str,
}

const CURSOR_CASES: [CursorCase; 8] = [
    CursorCase {
        keys: &["a", "b"],
        after: "b",
    },
    CursorCase {
        keys: &["a", "b%"],
        after: "a",
    },
    CursorCase {
        keys: &["a", "b+", "c d", "e\u{e9}"],
        after: "a",
    },
    CursorCase {
        keys: &["a%", "b", "c&"],
        after: "b",
    },
    CursorCase {
        keys: &["a%"],
        after: "a%",
    },
    CursorCase {
        keys: &["a%", "b%"],
        after: "a%",
    },
    CursorCase {
        keys: &["a%", "b%", "c%"],
        after: "b%",
    },
    CursorCase {
        keys: &["servers/i-1", "servers/i-1~"],
        after: "servers/i-1",
    },
];

/// Guards against a page that relies on how a server reads an odd key, while another key needs no reading.
#[gtest]
fn a_listing_goes_on_after_a_key_that_each_server_reads_alike() {
    for CursorCase { keys, after } in CURSOR_CASES {
        let mut listing = Listing::default();
        expect_that!(add(&mut listing, page_of(keys, true)), ok(eq(&())));
        expect_that!(listing.after(), some(eq(after)), "{keys:?}");
    }
}

/// What a store answers that does not let a listing go on, and what comes of it.
struct StuckCase {
    name: &'static str,
    /// Keys of the pages.
    pages: &'static [&'static [&'static str]],
    /// Key after which the listing goes on at the end, or at which it is stuck.
    outcome: std::result::Result<&'static str, &'static str>,
}

const STUCK_CASES: [StuckCase; 8] = [
    StuckCase {
        name: "the first page again, without another key to go on from",
        pages: &[&["a%"], &["a%"]],
        outcome: Err("a%"),
    },
    StuckCase {
        name: "the first page again, after its plain key",
        pages: &[&["a", "a%"], &["a", "a%"]],
        outcome: Err("a"),
    },
    StuckCase {
        name: "the first page of odd keys again",
        pages: &[&["a%", "b%", "c%"], &["a%", "b%", "c%"]],
        outcome: Ok("a%"),
    },
    StuckCase {
        name: "the first page of odd keys again, after the other key too",
        pages: &[
            &["a%", "b%", "c%"],
            &["a%", "b%", "c%"],
            &["a%", "b%", "c%"],
        ],
        outcome: Err("a%"),
    },
    StuckCase {
        name: "an earlier page again",
        pages: &[&["a"], &["b"], &["a"]],
        outcome: Err("b"),
    },
    StuckCase {
        name: "a page without keys that says there are more",
        pages: &[&["a"], &[]],
        outcome: Err("a"),
    },
    StuckCase {
        name: "a page without keys after one of odd keys",
        pages: &[&["a%"], &[]],
        outcome: Err("a%"),
    },
    StuckCase {
        name: "a first page without keys that says there are more",
        pages: &[&[]],
        outcome: Err(""),
    },
];

#[gtest]
fn a_listing_without_progress_tries_each_place_once_and_then_fails() {
    for case in &STUCK_CASES {
        let mut listing = Listing::default();
        let mut outcome: std::result::Result<(), ListingFault> = Ok(());
        for keys in case.pages {
            expect_that!(outcome.is_ok(), eq(true), "{}", case.name);
            outcome = add(&mut listing, page_of(keys, true));
        }
        let outcome = outcome.map(|()| listing.after().unwrap_or_default().to_owned());
        let expected = case.outcome.map(str::to_owned).map_err(stuck);
        expect_that!(outcome, eq(&expected), "{}", case.name);
        expect_that!(listing.is_complete(), eq(false), "{}", case.name);
    }
}

#[gtest]
fn a_rejected_key_is_given_up_for_an_earlier_one_and_only_once() {
    let mut listing = Listing::default();
    let odd = page_of(&["a%", "b%", "c%"], true);
    expect_that!(add(&mut listing, odd), ok(eq(&())));
    expect_that!(listing.after(), some(eq("b%")));
    expect_that!(listing.step_back(), ok(eq(&())));
    expect_that!(listing.after(), some(eq("a%")));
    expect_that!(listing.step_back(), err(eq(&stuck("a%"))));
}

/// Guards against a store that reads an odd key as a later one, and hides the items between from a listing that is taken
/// for complete.
#[gtest]
fn a_page_after_an_odd_key_has_to_bring_the_item_that_follows() {
    let mut listing = Listing::default();
    let odd = || page_of(&["a%", "b%", "c%"], true);
    expect_that!(add(&mut listing, odd()), ok(eq(&())));
    expect_that!(add(&mut listing, page("z", false)), ok(eq(&())));
    expect_that!(
        (listing.after(), listing.is_complete()),
        eq((Some("a%"), false))
    );
    let rest = page_of(&["b%", "c%", "z"], false);
    expect_that!(add(&mut listing, rest), ok(eq(&())));
    expect_that!(listing.is_complete(), eq(true));
    let items = listing.into_items();
    expect_that!(items, eq(&["a%", "b%", "c%", "b%", "c%", "z"]));

    let mut listing = Listing::default();
    expect_that!(add(&mut listing, odd()), ok(eq(&())));
    expect_that!(add(&mut listing, page("z", false)), ok(eq(&())));
    let left_out = ListingFault::ItemLeftOut {
        after: "a%".to_owned(),
        left_out: "b%".to_owned(),
    };
    expect_that!(add(&mut listing, page("z", false)), err(eq(&left_out)));
    // The item may have been removed between the pages, so that the next listing may be whole.
    expect_that!((listing.after(), listing.pages()), eq((None, 0)));
    expect_that!(add(&mut listing, page("z", false)), ok(eq(&())));
    expect_that!(listing.into_items(), elements_are![eq("z")]);
}

/// Revisions of two eras cannot be compared, so that pages of both are no listing.
#[gtest]
fn pages_of_another_era_drop_those_before() {
    let in_era = |era, key, has_more| ListingPage {
        position: StorePosition {
            era: Some(StoreEra(era)),
            revision: 7,
        },
        ..page(key, has_more)
    };
    let mut listing = Listing::default();
    expect_that!(add(&mut listing, in_era(1, "a", true)), ok(eq(&())));
    let changed = add(&mut listing, in_era(2, "b", false));
    expect_that!(changed, err(eq(&ListingFault::EraChanged)));
    expect_that!(listing.after(), none());
    expect_that!(listing.is_complete(), eq(false));
    expect_that!(add(&mut listing, in_era(2, "c", false)), ok(eq(&())));
    expect_that!(listing.into_items(), elements_are![eq("c")]);
}

/// A late answer to an earlier call, as the last page, would complete a listing without the pages between.
#[gtest]
fn a_page_that_was_asked_for_from_elsewhere_is_ignored() {
    let mut listing = Listing::default();
    let begin_again = listing.add(at(0), Some("q"), page("z", false));
    expect_that!(begin_again, ok(eq(&())));
    expect_that!((listing.pages(), listing.is_complete()), eq((0, false)));
    expect_that!(add(&mut listing, page("a", true)), ok(eq(&())));
    for late in [None, Some("q")] {
        let added = listing.add(at(0), late, page("z", false));
        expect_that!(added, ok(eq(&())), "{late:?}");
        expect_that!(
            (listing.pages(), listing.is_complete()),
            eq((1, false)),
            "{late:?}"
        );
    }
    expect_that!(add(&mut listing, page("b", false)), ok(eq(&())));
    expect_that!(listing.add(at(0), Some("a"), page("b", false)), ok(eq(&())));
    expect_that!(listing.into_items(), elements_are![eq("a"), eq("b")]);
}

const SOURCES: [[u8; 4]; 2] = [[10, 0, 0, 1], [10, 0, 0, 2]];

fn order(role: Role, share: f64) -> SourceOrder {
    SourceOrder {
        role,
        relays: SOURCES.map(Into::into).into_iter().collect(),
        deputies: SourceList::new(),
        share,
        fleet_size: 60,
        earlier: SourceList::new(),
    }
}

/// What the sources of a VM that starts say, and when it then asks the store itself.
struct StartCase {
    name: &'static str,
    role: Role,
    has_lost_store: bool,
    asks_store: bool,
    /// Time after which the sources say no more.
    until_ms: u64,
    calls_at_ms: std::ops::RangeInclusive<u64>,
}

const START_CASES: [StartCase; 6] = [
    StartCase {
        name: "a listener whose relays list",
        role: Role::Listener,
        has_lost_store: false,
        asks_store: true,
        until_ms: 60_000,
        calls_at_ms: 5_000..=5_000,
    },
    StartCase {
        name: "a deputy whose relays list",
        role: Role::Deputy,
        has_lost_store: false,
        asks_store: true,
        until_ms: 60_000,
        calls_at_ms: 5_000..=5_000,
    },
    StartCase {
        name: "a listener whose relays fall silent while they list",
        role: Role::Listener,
        has_lost_store: false,
        asks_store: true,
        until_ms: 2_000,
        calls_at_ms: 2_900..=3_100,
    },
    StartCase {
        name: "a deputy whose relays fall silent while they list",
        role: Role::Deputy,
        has_lost_store: false,
        asks_store: true,
        until_ms: 2_000,
        calls_at_ms: 2_900..=3_100,
    },
    StartCase {
        name: "a listener whose relays have lost the store",
        role: Role::Listener,
        has_lost_store: true,
        asks_store: true,
        until_ms: 60_000,
        calls_at_ms: 1_000..=1_000,
    },
    StartCase {
        name: "a listener whose relays do not ask",
        role: Role::Listener,
        has_lost_store: false,
        asks_store: false,
        until_ms: 60_000,
        calls_at_ms: 1_000..=1_000,
    },
];

/// Guards against a whole fleet that lists the store since the listings of its relays take longer than a second.
#[gtest]
fn vms_that_start_wait_for_a_relay_that_lists() {
    for case in &START_CASES {
        let order = order(case.role, 0.0);
        let mut source = StoreSource::new(at(0));
        let word = SourceWord {
            is_recent: false,
            has_lost_store: case.has_lost_store,
            asks_store: case.asks_store,
        };
        let called_at_ms = (0..10_000).step_by(100).find(|ms| {
            for ip in SOURCES.iter().filter(|_| *ms < case.until_ms) {
                source.on_source_word(at(*ms), (*ip).into(), at(*ms), word);
            }
            let mut plan = source.plan(at(*ms), &order, None);
            if plan.is_probe_due {
                // A store that takes listings answers probes, at once.
                source.on_probe_began(at(*ms));
                source.on_probe_answered();
                plan = source.plan(at(*ms), &order, None);
            }
            plan.store_call == Some(StoreCall::Check)
        });
        let is_expected = called_at_ms.is_some_and(|at_ms| case.calls_at_ms.contains(&at_ms));
        expect_that!(is_expected, eq(true), "{}: {called_at_ms:?}", case.name);
    }
}

/// A VM of 60 whose listings are refused, and its pauses.
struct RefusedCase {
    role: Role,
    share: f64,
    first_pause_ms: u64,
    last_pause_ms: u64,
}

const REFUSED_CASES: [RefusedCase; 5] = [
    RefusedCase {
        role: Role::Direct,
        share: 0.0,
        first_pause_ms: 200,
        last_pause_ms: 900,
    },
    RefusedCase {
        role: Role::Direct,
        share: 0.05,
        first_pause_ms: 800,
        last_pause_ms: 3_300,
    },
    RefusedCase {
        role: Role::Relay,
        share: 0.1,
        first_pause_ms: 1_400,
        last_pause_ms: 5_700,
    },
    RefusedCase {
        role: Role::Deputy,
        share: 0.9,
        first_pause_ms: 10_000,
        last_pause_ms: 10_000,
    },
    RefusedCase {
        role: Role::Listener,
        share: 0.9,
        first_pause_ms: 10_000,
        last_pause_ms: 10_000,
    },
];

/// Guards against a store that refuses all calls for ever, since refused ones count toward its rate limit too.
#[gtest]
fn the_last_vms_pause_longest_after_refused_listings() {
    for case in &REFUSED_CASES {
        let what = format!("{:?}, {}", case.role, case.share);
        let order = order(case.role, case.share);
        let mut source = StoreSource::new(at(0));
        let pauses_from = |source: &mut StoreSource, from_ms: u64| {
            let mut calls_at_ms = Vec::new();
            for ms in (from_ms..from_ms + 60_000).step_by(20) {
                if source.plan(at(ms), &order, None).store_call.is_some() {
                    source.on_listing_refused(at(ms), &order, 1.0);
                    source.on_call_interrupted(at(ms), 1.0);
                    calls_at_ms.push(ms);
                }
            }
            let pauses = calls_at_ms.windows(2).map(|two| two[1] - two[0]);
            pauses.collect::<Vec<u64>>()
        };
        let is_near =
            |pause_ms: u64, expected_ms: u64| (expected_ms..=expected_ms + 20).contains(&pause_ms);
        // A listing that the store answers ends the series.
        for from_ms in [0, 100_000] {
            let pauses = pauses_from(&mut source, from_ms);
            let (first, last) = (pauses[0], pauses[pauses.len() - 1]);
            expect_that!(
                is_near(first, case.first_pause_ms),
                eq(true),
                "{what}: {pauses:?}"
            );
            expect_that!(
                is_near(last, case.last_pause_ms),
                eq(true),
                "{what}: {pauses:?}"
            );
            source.on_store_answer(at(from_ms + 60_000));
            source.on_store_unsure();
        }
    }
}

/// What a source says to a VM whose first listing was refused, and when that VM then asks the store again.
struct LeavingCase {
    name: &'static str,
    role: Role,
    /// Whether the source comes before the VM in the order of the fleet.
    is_earlier: bool,
    has_lost_store: bool,
    /// Time after which the source says no more.
    until_ms: u64,
    calls_at_ms: std::ops::RangeInclusive<u64>,
}

const LEAVING_CASES: [LeavingCase; 6] = [
    LeavingCase {
        name: "an earlier VM lists, and the VM is a relay",
        role: Role::Relay,
        is_earlier: true,
        has_lost_store: false,
        until_ms: 60_000,
        calls_at_ms: 8_600..=8_700,
    },
    LeavingCase {
        name: "an earlier VM lists, in a small fleet",
        role: Role::Direct,
        is_earlier: true,
        has_lost_store: false,
        until_ms: 60_000,
        calls_at_ms: 8_600..=8_700,
    },
    LeavingCase {
        name: "an earlier VM lists, and the VM is a deputy",
        role: Role::Deputy,
        is_earlier: true,
        has_lost_store: false,
        until_ms: 60_000,
        calls_at_ms: 8_600..=8_700,
    },
    LeavingCase {
        name: "an earlier VM falls silent while it lists",
        role: Role::Relay,
        is_earlier: true,
        has_lost_store: false,
        until_ms: 3_000,
        calls_at_ms: 3_900..=4_000,
    },
    LeavingCase {
        name: "an earlier VM has lost the store",
        role: Role::Relay,
        is_earlier: true,
        has_lost_store: true,
        until_ms: 60_000,
        calls_at_ms: 1_300..=1_500,
    },
    LeavingCase {
        name: "a later VM lists",
        role: Role::Relay,
        is_earlier: false,
        has_lost_store: false,
        until_ms: 60_000,
        calls_at_ms: 1_300..=1_500,
    },
];

/// Guards against VMs that list beside each other under a limit which lets one of them list in time.
#[gtest]
fn a_refused_listing_is_left_to_an_earlier_vm_that_lists() {
    for case in &LEAVING_CASES {
        let mut order = order(case.role, 0.1);
        if case.is_earlier {
            order.earlier.push(SOURCES[0].into());
        }
        let mut source = StoreSource::new(at(0));
        source.on_listing_refused(at(0), &order, 1.0);
        source.on_store_failed(at(0), 1.0);
        // A store that turns this VM away for good is as good as lost.
        for (ms, is_listing) in [(0, true), (3_400, true), (3_500, false)] {
            expect_that!(source.is_listing(at(ms)), eq(is_listing), "{ms} ms");
        }
        let word = SourceWord {
            is_recent: false,
            has_lost_store: case.has_lost_store,
            asks_store: true,
        };
        let called_at_ms = (0..10_000).step_by(100).find(|ms| {
            if *ms < case.until_ms {
                source.on_source_word(at(*ms), SOURCES[0].into(), at(*ms), word);
            }
            source.plan(at(*ms), &order, None).store_call.is_some()
        });
        let is_expected = called_at_ms.is_some_and(|at_ms| case.calls_at_ms.contains(&at_ms));
        expect_that!(is_expected, eq(true), "{}: {called_at_ms:?}", case.name);
    }
}
