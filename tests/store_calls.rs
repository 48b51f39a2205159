//! Guards the number of calls to the store, which must not grow like the fleet: on calm days, under a series of changes,
//! beside VMs that stand still, and while the store is down.
//!
//! `STORE_CALLS_VMS` is the number of VMs; with it, the calls are printed and not checked.

mod users_platform;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::Signal;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::ranks::ranks;
use users_platform::store::Mode;
use users_platform::versions::Versions;

/// Number of VMs in CI, in three data centres.
const DEFAULT_VMS: usize = 30;
/// Length of a case.
const DURATION: Duration = Duration::from_secs(5);
/// Pause between two changes of a series.
const CHANGE_PAUSE: Duration = Duration::from_millis(330);
/// Span in which the most calls are counted.
const PEAK_SPAN: Duration = Duration::from_millis(500);
/// Time for a fleet to settle after its start or a case.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The relays stand still.
    SilentRelays,
    /// All that a VM may ask stand still.
    SilentSources,
    /// The store answers nobody.
    Down(Mode),
    /// Both: all that a VM may ask stand still, and the store answers nobody.
    SilentSourcesAndDown,
}

struct Case {
    name: &'static str,
    fault: Fault,
    has_changes: bool,
    /// Largest number of calls per second, without those for which a stale answer would do.
    max_calls_per_s: usize,
    /// Largest number of calls in [`PEAK_SPAN`].
    max_peak: usize,
}

/// Six relays and six deputies at 30 VMs. A relay watches at most each 0.45 s, and so does a deputy while relays are silent.
/// If the store does not answer, a relay calls it each 0.45 s at the most, a deputy each 2 s, and all other VMs 10 times a
/// second together; while the sources of a VM are silent, it calls once and then each 2 s.
const CASES: [Case; 6] = [
    Case {
        name: "calm",
        fault: Fault::None,
        has_changes: false,
        max_calls_per_s: 6,
        max_peak: 12,
    },
    Case {
        name: "a series of changes",
        fault: Fault::None,
        has_changes: true,
        max_calls_per_s: 6 * 3,
        max_peak: 6 * 2,
    },
    Case {
        name: "relays that stand still",
        fault: Fault::SilentRelays,
        has_changes: true,
        max_calls_per_s: 12 * 3,
        max_peak: 30,
    },
    Case {
        name: "all sources stand still",
        fault: Fault::SilentSources,
        has_changes: true,
        max_calls_per_s: 18 * 3,
        max_peak: 30,
    },
    Case {
        name: "the store is silent",
        fault: Fault::Down(Mode::Silent),
        has_changes: false,
        max_calls_per_s: 6 * 2 + 6 + 10,
        max_peak: 6 * 2 + 6 + 10,
    },
    Case {
        name: "the store is busy",
        fault: Fault::Down(Mode::Busy),
        has_changes: false,
        max_calls_per_s: 6 * 3 + 6 + 10,
        max_peak: 12 * 3,
    },
];

/// Returns the largest number of calls in a span.
fn peak(calls: &[Instant]) -> usize {
    let count_from = |from: &Instant| {
        let is_within = |at: &&Instant| **at >= *from && **at < *from + PEAK_SPAN;
        calls.iter().filter(is_within).count()
    };
    calls.iter().map(count_from).max().unwrap_or(0)
}

/// Runs a case and returns the calls per second and the most in a span, both without those that may be stale, and
/// the stale ones per second.
async fn run(fleet: &mut Fleet, case: &Case) -> [f64; 3] {
    let [relays, next, _] = ranks(fleet);
    let silent = match case.fault {
        Fault::SilentRelays => relays,
        Fault::SilentSources | Fault::SilentSourcesAndDown => [relays, next].concat(),
        Fault::None | Fault::Down(_) => Vec::new(),
    };
    for vm in &silent {
        fleet.vms[*vm].signal(Signal::STOP);
    }
    match case.fault {
        Fault::Down(mode) => fleet.store.set_mode(mode),
        Fault::SilentSourcesAndDown => fleet.store.set_mode(Mode::Silent),
        _ => {}
    }
    let (began_at, versions) = (Instant::now(), Versions::default());
    while began_at.elapsed() < DURATION {
        if case.has_changes {
            versions.publish(fleet);
        }
        sleep(CHANGE_PAUSE).await;
    }
    let [present, stale] = fleet.store.calls_since(began_at);
    fleet.store.set_mode(Mode::Up);
    for vm in &silent {
        fleet.vms[*vm].signal(Signal::CONT);
    }
    let seconds = DURATION.as_secs_f64();
    [
        present.len() as f64 / seconds,
        peak(&present) as f64,
        stale.len() as f64 / seconds,
    ]
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_calls_to_the_store_stay_few_under_faults() {
    let chosen = std::env::var("STORE_CALLS_VMS").ok();
    let chosen: Option<usize> = chosen.and_then(|text| text.parse().ok());
    let mut fleet = Fleet::start(chosen.unwrap_or(DEFAULT_VMS)).await;
    let both = Case {
        name: "all sources stand still and the store is silent",
        fault: Fault::SilentSourcesAndDown,
        has_changes: false,
        max_calls_per_s: 12 * 2 + 18,
        max_peak: 12 + 18,
    };
    for case in CASES.iter().chain([&both]) {
        sleep(SETTLING_TIME).await;
        let [per_s, peak, stale_per_s] = run(&mut fleet, case).await;
        println!(
            "{} VMs, {}: {per_s:.1} calls a second, {peak} in half a second, {stale_per_s:.1} stale ones a second",
            fleet.vms.len(),
            case.name
        );
        if chosen.is_none() {
            expect_that!(per_s, le(case.max_calls_per_s as f64), "{}", case.name);
            expect_that!(peak, le(case.max_peak as f64), "{}", case.name);
        }
    }
}
