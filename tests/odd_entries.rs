//! Guards a fleet against entries of other writers in the platform's store, as real processes: whatever their names and
//! values are, the other entries hold.

mod users_platform;

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use tokio::time::sleep;
use users_platform::caller::request;
use users_platform::odd_items::pages_of_listing;
use users_platform::store::Limits;
use users_platform::{Fleet, Vm, within};

/// Time within which VMs serve again once they run, on the smallest deployment of the platform (`RecoverS`).
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Items on a page. The entries of the fleet's endpoints follow the odd ones and fill more than another page.
const PAGE_ITEMS: usize = 4;
/// Ends of names that a query, a path, a header or a JSON text has to escape, or that a server may read as something else.
const ODD_ENDS: [&str; 26] = [
    "&",
    "&After=zz",
    "&AllowStale=1",
    "&b=",
    "+",
    "#",
    "#x",
    "%",
    "%zz",
    "%41",
    "%7A",
    "%00",
    " ",
    "?",
    "=",
    ";",
    "/",
    "\"",
    "\\",
    "<",
    "|",
    "^",
    "\u{e9}\u{4e16}\u{1f600}",
    "\n",
    "\u{0}",
    "../x",
];
/// Shortest pause after a listing that failed (`docs/platform.md`, "Listings").
const MIN_LISTING_PAUSE: Duration = Duration::from_millis(200);
/// Number of fleets that run at a time.
const FLEETS: usize = 3;
const VMS: usize = 3;

/// Place of an odd key among the keys of its page.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    Last,
    Inside,
}

/// Puts a page of entries before those of the endpoints, or before the configuration, of which one has an odd name.
fn put_page(fleet: &Fleet, prefix: &str, odd_end: &str, place: Place) -> Vec<String> {
    let odd = match place {
        Place::Last => PAGE_ITEMS - 1,
        Place::Inside => 1,
    };
    let keys: Vec<String> = (0..PAGE_ITEMS)
        .map(|number| match number == odd {
            true => format!("{prefix}a{number}{odd_end}"),
            false => format!("{prefix}a{number}"),
        })
        .collect();
    for key in &keys {
        fleet.store.put(key, &json!({ "State": "ready" }));
    }
    keys
}

/// Kills all VMs and starts them again.
fn restart_all(fleet: &mut Fleet) {
    fleet.vms.iter_mut().for_each(|vm| vm.kill());
    fleet.vms.iter_mut().for_each(|vm| vm.start());
}

/// Waits until each VM serves a request of a plain route and one with stages.
async fn wait_until_served(fleet: &Fleet, what: &str) {
    let started = Instant::now();
    for vm in &fleet.vms {
        for path in ["/look/x", "/stream/x"] {
            let is_served = || async {
                let id = format!("r-{}", started.elapsed().as_micros());
                let answer = request(vm.caller_address(), path, &id, "key-1").await;
                answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
            };
            let left = RECOVER_TIME.saturating_sub(started.elapsed());
            within(
                &format!("{what}: {} serves {path}", vm.name),
                left,
                is_served,
            )
            .await;
        }
    }
}

/// Returns the number of calls for pages so far.
fn page_calls(fleet: &Fleet) -> usize {
    let calls = fleet.store.paths_with("kv-range");
    // Stale reads are probes.
    calls
        .iter()
        .filter(|call| !call.contains("AllowStale=1"))
        .count()
}

/// Checks that the VMs asked for the pages of one listing each at the most, and never for one in a malformed way.
fn check_calls(fleet: &Fleet, what: &str, before: usize) {
    let (malformed, path) = fleet.store.malformed_calls();
    expect_that!(malformed, eq(0), "{what}: {path}");
    let pages = page_calls(fleet) - before;
    let pages_of = |prefix: &str| pages_of_listing(&fleet.store.keys(prefix), PAGE_ITEMS).len();
    let pages_of_vm = pages_of("op/") + pages_of("servers/");
    expect_that!(pages, le(VMS * pages_of_vm), "{what}: pages");
}

/// Starts a fleet beside odd names, one after the other.
async fn start_beside(prefix: &str, ends: &[&str]) {
    let mut fleet = Fleet::start(VMS).await;
    for odd_end in ends {
        for place in [Place::Last, Place::Inside] {
            let what = format!("{prefix}a{odd_end:?}, {place:?}");
            let keys = put_page(&fleet, prefix, odd_end, place);
            let before = page_calls(&fleet);
            restart_all(&mut fleet);
            wait_until_served(&fleet, &what).await;
            check_calls(&fleet, &what, before);
            keys.iter().for_each(|key| fleet.store.delete(key));
        }
    }
}

async fn start_beside_each(prefix: &str) {
    let ends = ODD_ENDS.chunks(ODD_ENDS.len().div_ceil(FLEETS));
    join_all(ends.map(|ends| start_beside(prefix, ends))).await;
}

/// Guards against a listing that goes on from another key than the last of its page, or does not go on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_vms_start_beside_an_entry_with_an_odd_name() {
    start_beside_each("servers/").await;
}

/// The same for the keys of the operator: the configuration stands behind them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_vms_start_beside_a_key_of_the_operator_with_an_odd_name() {
    start_beside_each("op/").await;
}

/// Guards against an evacuation of a data centre that none can be, which costs the other evacuations or a start.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_data_centres_cost_no_evacuation() {
    let mut fleet = Fleet::start(VMS).await;
    for (number, odd_end) in ODD_ENDS.iter().enumerate() {
        let key = format!("op/evacuate/{}{odd_end}", ["", "a", "zz"][number % 3]);
        fleet.store.put(&key, &json!({}));
    }
    fleet.store.put("op/evacuate/a", &json!({}));
    let pages_before = page_calls(&fleet);
    restart_all(&mut fleet);
    wait_until_served(&fleet, "odd evacuations").await;
    // The first of the two plain endpoints stands in the data centre that is evacuated.
    sleep(Duration::from_secs(2)).await;
    let before = fleet.backends[0].received().len();
    for vm in &fleet.vms {
        for number in 0..6 {
            let id = format!("e-{number}");
            let answer = request(vm.caller_address(), "/look/x", &id, "key-1").await;
            expect_that!(answer.map(|answer| answer.status), some(eq(200)));
        }
    }
    expect_that!(fleet.backends[0].received().len(), eq(before));
    check_calls(&fleet, "odd evacuations", pages_before);
}

/// An item that does not keep to the page, as it stands in the answers of the store.
struct OddItem {
    name: &'static str,
    /// Item without its key and its revision; `%K` and `%R` stand for them.
    text: &'static str,
}

const ODD_ITEMS: [OddItem; 12] = [
    OddItem {
        name: "a value that is a number",
        text: r#"{"Key":%K,"Value":17,"Revision":%R}"#,
    },
    OddItem {
        name: "a value that is no base64",
        text: r#"{"Key":%K,"Value":"***","Revision":%R}"#,
    },
    OddItem {
        name: "no value",
        text: r#"{"Key":%K,"Revision":%R}"#,
    },
    OddItem {
        name: "a value that is null",
        text: r#"{"Key":%K,"Value":null,"Revision":%R}"#,
    },
    OddItem {
        name: "a revision that is a text",
        text: r#"{"Key":%K,"Value":"e30=","Revision":"x"}"#,
    },
    OddItem {
        name: "a revision below zero",
        text: r#"{"Key":%K,"Value":"e30=","Revision":-1}"#,
    },
    OddItem {
        name: "no revision",
        text: r#"{"Key":%K,"Value":"e30="}"#,
    },
    OddItem {
        name: "a deletion that is a text",
        text: r#"{"Key":%K,"Value":"e30=","Revision":%R,"Deleted":"yes"}"#,
    },
    OddItem {
        name: "half of a surrogate pair",
        text: r#"{"Key":%K,"Value":"\ud800","Revision":%R}"#,
    },
    OddItem {
        name: "a field that stands twice",
        text: r#"{"Key":%K,"Value":"e30=","Value":"e30=","Revision":%R}"#,
    },
    OddItem {
        name: "no key",
        text: r#"{"Value":"e30=","Revision":%R}"#,
    },
    OddItem {
        name: "no object",
        text: r#"[%K,"e30=",%R]"#,
    },
];

/// Values that are no entry of an endpoint.
fn odd_values() -> Vec<Bytes> {
    let entry = |slots: &str| {
        format!(
            r#"{{"Service":"plain","Address":"127.0.0.1:9","Zone":"a","Version":"v1","Slots":{slots},"State":"ready","ColdRemainingMs":0,"Sequence":1}}"#
        )
    };
    let mut values = vec![
        Bytes::new(),
        Bytes::from_static(b"\xff\xfe\x00"),
        Bytes::from_static(b"null"),
        Bytes::from("[".repeat(20_000)),
        Bytes::from(vec![b'x'; 300_000]),
    ];
    let slots = [
        "1e400",
        "-1",
        "3.5",
        "[]",
        "\"6\"",
        "null",
        "1.2345678901234568e+24",
    ];
    values.extend(slots.map(|slots| Bytes::from(entry(slots))));
    values
}

/// Guards against an item, or the value of one, that costs the others of its page, of a watch or of a state that VMs
/// pass on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_item_costs_no_other_one() {
    let mut fleet = Fleet::start(VMS).await;
    let put_all = |fleet: &Fleet, round: &str| {
        for (number, value) in odd_values().into_iter().enumerate() {
            let key = format!("servers/{}-{round}{number}", ["a", "i", "z"][number % 3]);
            fleet.store.put_bytes(&key, value.clone());
            let key = format!("op/evacuate/{}{round}{number}", ["x", "y"][number % 2]);
            fleet.store.put_bytes(&key, value);
        }
        for (number, OddItem { text, .. }) in ODD_ITEMS.iter().enumerate() {
            let key = format!("servers/{}w{round}{number}", ["a", "i", "z"][number % 3]);
            let item = |revision: u64| {
                let text = text.replace("%K", &json!(key).to_string());
                text.replace("%R", &revision.to_string())
            };
            fleet.store.put_wire(&key, item);
        }
    };
    // In the changes of a watch, next to a new endpoint.
    put_all(&fleet, "first");
    let added = fleet
        .add_backend("plain", users_platform::backend::Kind::Plain)
        .await;
    put_all(&fleet, "second");
    // The removals stand among the odd changes too.
    fleet.store.delete("servers/i-0");
    fleet.store.delete("servers/i-1");
    put_all(&fleet, "third");
    for vm in &fleet.vms {
        let is_used = || async {
            request(vm.caller_address(), "/look/x", "r-w", "key-1").await;
            !fleet.backends[added].received().is_empty()
        };
        within("the new endpoint is used", Duration::from_secs(3), is_used).await;
    }
    // In a listing, at the ends of pages of several sizes too.
    for page_items in [500, 5, 3, 2, 1] {
        if page_items == 1 {
            // After a page with nothing but an item without a key there is no key to go on from.
            let without_key = fleet.store.keys_of_wire_items(|item| !item.contains("Key"));
            without_key.iter().for_each(|key| fleet.store.delete(key));
        }
        let what = format!("pages of {page_items}");
        fleet.store.set_limits(Limits {
            page_items,
            ..Limits::default()
        });
        restart_all(&mut fleet);
        wait_until_served(&fleet, &what).await;
    }
    let (malformed, path) = fleet.store.malformed_calls();
    expect_that!(malformed, eq(0), "{path}");
    // Each is logged once a change and process, not once a read.
    let processes = 6;
    for vm in &fleet.vms {
        for (number, OddItem { name, .. }) in ODD_ITEMS.iter().enumerate() {
            let key = format!("wthird{number}\"");
            let log = vm.log();
            let lines = log
                .lines()
                .filter(|line| line.contains("\"WARN\"") && line.contains(&key));
            expect_that!(lines.count(), le(processes), "{}: {name}", vm.name);
        }
    }
}

/// A page without a key gives no place to go on from. Guards against one that costs VMs which run, or one that starts beside
/// them, and against a fleet that starts and does not say what keeps it from serving.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_page_without_keys_costs_no_vm_beside_others_and_is_reported() {
    const LISTING_ERROR: &str = "a listing cannot be completed";
    const KEYLESS: &str = "servers/a";
    let mut fleet = Fleet::start(VMS).await;
    fleet.store.set_limits(Limits {
        page_items: 1,
        ..Limits::default()
    });
    fleet.store.put_wire(KEYLESS, |revision| {
        format!(r#"{{"Value":"e30=","Revision":{revision}}}"#)
    });
    wait_until_served(&fleet, "VMs that run").await;
    fleet.vms[0].kill();
    fleet.vms[0].start();
    wait_until_served(&fleet, "a VM that starts beside others").await;
    let reports = |vm: &Vm| vm.log().matches(LISTING_ERROR).count();
    let reports_before: Vec<usize> = fleet.vms.iter().map(reports).collect();
    let calls_before = fleet.store.call_count();
    restart_all(&mut fleet);
    let started = Instant::now();
    for (vm, before) in fleet.vms.iter().zip(reports_before) {
        let is_reported = || async { reports(vm) > before };
        within("the listing is reported", RECOVER_TIME, is_reported).await;
    }
    sleep(Duration::from_secs(2)).await;
    let calls = fleet.store.call_count() - calls_before;
    let max_tries = started.elapsed().as_millis() / MIN_LISTING_PAUSE.as_millis() + 1;
    // A try asks for a page of each list.
    let max_calls = VMS as u64 * max_tries as u64 * 2;
    expect_that!(calls, le(max_calls), "calls beside a page without keys");
    fleet.store.delete(KEYLESS);
    wait_until_served(&fleet, "once the item is gone").await;
}
