//! Guards a fleet that loses all its processes, VMs and endpoints alike, while an entry of another writer with an odd
//! name stands in the store, which lists more than one page.
//!
//! The store reads queries in each way in which servers do, and shares no code with its client.

mod fleet;
mod query;
mod store;

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;

use fleet::{Fleet, Vm};
use query::{Malformed, Plus, Reading};

/// Time within which VMs serve again once they run, on the smallest deployment of the platform (`RecoverS`).
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Items on a page. The odd key is the last one of the first page, and the entries of the endpoints follow.
const PAGE_ITEMS: usize = 4;
const VMS: u8 = 3;
const ENDPOINTS: u8 = 6;
/// Requests of each route to each VM once it has recovered, all of which have to be served.
const REQUESTS: usize = 5;
/// Pause between the starts of two endpoints that come back while the VMs run.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(100);

const READINGS: [Reading; 9] = [
    Reading {
        name: "as a web form",
        plus: Plus::Blank,
        malformed: Malformed::Kept,
        fronts: 0,
        decodings: 1,
    },
    Reading {
        name: "as a web form, malformed parts dropped",
        plus: Plus::Blank,
        malformed: Malformed::Dropped,
        fronts: 0,
        decodings: 1,
    },
    Reading {
        name: "as a web form, malformed parts refused",
        plus: Plus::Blank,
        malformed: Malformed::Refused,
        fronts: 0,
        decodings: 1,
    },
    Reading {
        name: "as RFC 3986 says, malformed parts dropped",
        plus: Plus::Itself,
        malformed: Malformed::Dropped,
        fronts: 0,
        decodings: 1,
    },
    Reading {
        name: "as RFC 3986 says, malformed parts refused",
        plus: Plus::Itself,
        malformed: Malformed::Refused,
        fronts: 0,
        decodings: 1,
    },
    Reading {
        name: "not decoded",
        plus: Plus::Itself,
        malformed: Malformed::Kept,
        fronts: 0,
        decodings: 0,
    },
    Reading {
        name: "decoded twice",
        plus: Plus::Blank,
        malformed: Malformed::Kept,
        fronts: 0,
        decodings: 2,
    },
    Reading {
        name: "decoded twice, malformed parts refused",
        plus: Plus::Blank,
        malformed: Malformed::Refused,
        fronts: 0,
        decodings: 2,
    },
    Reading {
        name: "decoded as a whole by a front, then again",
        plus: Plus::Blank,
        malformed: Malformed::Dropped,
        fronts: 1,
        decodings: 1,
    },
];

/// Ends of odd names. Each makes a key that comes before those of the endpoints, and before the configuration's.
const ODD_ENDS: [&str; 10] = [
    "&",
    "&After=zz",
    "+",
    "+z",
    "#",
    "%",
    "%zz",
    "%7A",
    " ",
    "% &#+=z",
];

/// What the other keys of the first page are like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Neighbours {
    Plain,
    Odd,
}

/// Puts a page of entries before those of the endpoints, and one before the operator's configuration. The last one of
/// each has an odd name.
fn put_pages(fleet: &mut Fleet, odd_end: &str, neighbours: Neighbours) {
    for (prefix, odd_start) in [("servers/", "i"), ("op/", "c")] {
        for number in 1..PAGE_ITEMS {
            let key = format!("{prefix}A{number}");
            match neighbours {
                Neighbours::Plain => fleet.put_plain(key),
                Neighbours::Odd => fleet.put_odd(key + odd_end),
            }
        }
        fleet.put_odd(format!("{prefix}{odd_start}{odd_end}"));
    }
}

/// What a VM that starts may come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// It serves the requests of each route.
    Served,
    /// It reports that the store does not let it go on.
    Reported,
}

/// Waits until a VM serves, or until it reports if that is allowed. An error says what it answered instead.
fn wait_for_outcome(
    fleet: &Fleet,
    vm: &Vm,
    since: Instant,
    allowed: Outcome,
) -> std::result::Result<Outcome, String> {
    let mut sent = 0;
    for (path, endpoint) in fleet.routes() {
        loop {
            sent += 1;
            let answer = vm.request(&path, &format!("{}-{sent}", vm.name));
            if answer.as_ref() == Ok(&endpoint) {
                break;
            }
            if allowed == Outcome::Reported && vm.reports_listing() {
                return Ok(Outcome::Reported);
            }
            if since.elapsed() > RECOVER_TIME {
                return Err(format!(
                    "{}, {path}: not {endpoint}, but {answer:?}",
                    vm.name
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(Outcome::Served)
}

/// Ends all processes beside odd entries and starts them again.
fn restart(fleet: &mut Fleet, odd_end: &str, allowed: Outcome) -> std::result::Result<(), String> {
    let lapsed = fleet.kill_all();
    let endpoints = usize::from(ENDPOINTS);
    // Some endpoints are there when the VMs list the store, and the others come while they run.
    (0..endpoints / 2).for_each(|number| fleet.start_endpoint(number));
    fleet.put_odd(format!("servers/j{odd_end}"));
    fleet.vms.iter_mut().for_each(Vm::start);
    let started = Instant::now();
    for number in endpoints / 2..endpoints {
        fleet.put_odd(format!("servers/j{odd_end}{number}"));
        fleet.start_endpoint(number);
        thread::sleep(ENDPOINT_PAUSE);
    }
    lapsed.iter().for_each(|key| fleet.store.delete(key));
    for vm in &fleet.vms {
        if wait_for_outcome(fleet, vm, started, allowed)? == Outcome::Reported {
            return Ok(());
        }
    }
    for vm in &fleet.vms {
        for number in 0..REQUESTS {
            for (path, _) in fleet.routes() {
                let answer = vm.request(&path, &format!("{}-after-{number}", vm.name));
                answer.map_err(|refusal| format!("{} after its recovery: {refusal}", vm.name))?;
            }
        }
    }
    match fleet.is_decoy_used() {
        true => Err("the address of an odd entry was used".to_owned()),
        false => Ok(()),
    }
}

/// Restarts a fleet beside each odd name, and returns what failed.
fn restart_beside_each(reading: Reading, neighbours: Neighbours) -> Vec<String> {
    let mut fleet = Fleet::prepare(VMS, ENDPOINTS, reading, PAGE_ITEMS);
    // No server reads this name as another one.
    restart(&mut fleet, ".", Outcome::Served).unwrap();
    let mut failures = Vec::new();
    for odd_end in ODD_ENDS {
        fleet.remove_others();
        put_pages(&mut fleet, odd_end, neighbours);
        fleet.store.take_page_calls();
        // A store that misreads each key of a page lets nobody go on.
        let is_misread = neighbours == Neighbours::Odd && !reading.reads_as_sent(odd_end);
        let allowed = match is_misread {
            true => Outcome::Reported,
            false => Outcome::Served,
        };
        if let Err(error) = restart(&mut fleet, odd_end, allowed) {
            let calls = fleet.store.take_page_calls();
            failures.push(format!(
                "{}, {neighbours:?} neighbours, {odd_end:?}: {error}, {} calls for pages: {}",
                reading.name,
                calls.len(),
                calls[..calls.len().min(4)].join("; ")
            ));
        }
    }
    failures
}

fn restart_with_each_reading(neighbours: Neighbours) -> Vec<String> {
    thread::scope(|scope| {
        let fleets =
            READINGS.map(|reading| scope.spawn(move || restart_beside_each(reading, neighbours)));
        let failures = fleets.into_iter().flat_map(|fleet| fleet.join().unwrap());
        failures.collect()
    })
}

/// Guards against a listing that hides what comes after an odd key, or does not go on from it.
#[gtest]
fn all_processes_start_beside_an_odd_entry() {
    let failures = restart_with_each_reading(Neighbours::Plain);
    expect_that!(failures.len(), eq(0), "{}", failures.join("\n"));
}

/// The same where each key of a page is odd, so that none of them is read alike by all servers.
#[gtest]
fn all_processes_start_beside_a_page_of_odd_entries() {
    let failures = restart_with_each_reading(Neighbours::Odd);
    expect_that!(failures.len(), eq(0), "{}", failures.join("\n"));
}
