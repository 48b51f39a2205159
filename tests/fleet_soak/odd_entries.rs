//! Runs in which other writers put entries with odd names, odd values and odd items into the store, change and remove
//! them all the while, beside kills and starts of all VMs at once, planned stops, outages and limits of the store, lost
//! and slow pages, and pages of changing sizes.
//!
//! The guarantees of the other runs hold. Besides, requests are served in time after all VMs were started, whatever
//! entries stand; calls to the store stay bounded and are well formed; and no VM reports a change twice.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::sleep;

use crate::liveness::{VmStates, check_liveness};
use crate::observations::Observations;
use crate::steps::{Step, apply};
use crate::users_platform::caller::request;
use crate::users_platform::store::{Limits, Mode};
use crate::users_platform::{DATA_CENTRES, Fleet, odd_items};
use crate::{
    CALLER_COUNT, RECOVERY_TIMEOUT, end_all_faults, follow_directory, schedule, send_requests,
    start_fleet,
};

/// Prefixes of the entries of endpoints, of the operator's keys and of evacuations.
const PREFIXES: [&str; 3] = ["servers/", "op/", "op/evacuate/"];
/// Number of odd entries from which further ones replace others.
const MAX_ENTRIES: usize = 60;
/// Upper bound of the time between two changes of odd entries, and between two series of faults.
const MAX_ENTRY_GAP_MS: u64 = 150;
const MAX_SERIES_GAP_MS: u64 = 900;
/// Number of times that all VMs are killed and started at the end of a run.
const RECOVERIES: usize = 3;
/// Number of pages of a listing up to which pages are also lost, slow and refused while VMs start.
const MAX_PAGES_BESIDE_LOSSES: usize = 8;
/// Upper bound of the calls to the store, per second and VM, without the pages of listings.
const MAX_CALLS_PER_S: f64 = 6.0;
/// Largest size of the values on a page of the store.
const PAGE_BYTES: usize = 1_000_000;
/// Listings of a VM that starts: its own, and one that it finds overtaken.
const LISTINGS_OF_START: usize = 2;

/// What other writers have in the store.
#[derive(Default)]
struct OtherWriters {
    /// Whether each of their items has a key that can be read.
    items: BTreeMap<String, bool>,
    /// Number of changes by key.
    changes: HashMap<String, usize>,
    bytes: usize,
}

impl OtherWriters {
    /// Writes, changes or removes an entry.
    fn change(&mut self, rng: &mut ChaCha8Rng, fleet: &Fleet) {
        let known = |rng: &mut ChaCha8Rng| {
            let place = rng.random_range(0..self.items.len().max(1));
            self.items.keys().nth(place).cloned()
        };
        let is_full = self.items.len() >= MAX_ENTRIES;
        let (key, is_removed) = match (rng.random_range(0..10), is_full) {
            (0..2, _) | (_, true) => (known(rng), true),
            (2..4, false) => (known(rng), false),
            _ => (None, false),
        };
        let prefix = PREFIXES[rng.random_range(0..PREFIXES.len())];
        let key = key.unwrap_or_else(|| odd_items::key(rng, prefix));
        let ids = fleet.backends.iter().map(|backend| &backend.id);
        let is_own = key == "op/config"
            || ids.into_iter().any(|id| key == format!("servers/{id}"))
            || DATA_CENTRES
                .iter()
                .any(|name| key == format!("op/evacuate/{name}"));
        if is_own {
            return;
        }
        *self.changes.entry(key.clone()).or_default() += 1;
        if is_removed {
            self.items.remove(&key);
            fleet.store.delete(&key);
        } else if rng.random_bool(0.5) {
            let value = odd_items::value(rng);
            self.bytes += value.len() * 4 / 3;
            self.items.insert(key.clone(), true);
            fleet.store.put_bytes(&key, Bytes::from(value));
        } else {
            let mut has_key = false;
            fleet.store.put_wire(&key, |revision| {
                let item = odd_items::item(rng, &key, revision);
                self.bytes += item.len();
                has_key = item.starts_with("{\"Key\":") && item.matches("\"Key\":").count() == 1;
                item
            });
            self.items.insert(key, has_key);
        }
    }

    /// Returns the largest number of neighbours without a readable key. A page of them cannot be gone on from.
    fn longest_unreadable_run(&self) -> usize {
        let (_, longest) = self.items.values().fold((0, 0), |(run, longest), has_key| {
            let run = if *has_key { 0 } else { run + 1 };
            (run, longest.max(run))
        });
        longest
    }

    /// Returns an upper bound of the number of pages of a listing.
    fn pages(&self, fleet: &Fleet, page_items: usize) -> usize {
        let items = self.items.len() + fleet.backends.len() + 1 + DATA_CENTRES.len();
        // A page that ends in items without a key is followed by one that begins with them.
        items.div_ceil(page_items - self.longest_unreadable_run().min(page_items - 1))
            + self.bytes / PAGE_BYTES
            + PREFIXES.len()
    }
}

/// Draws limits of the store with which VMs that start have to serve in time.
fn draw_limits(rng: &mut ChaCha8Rng, writers: &OtherWriters, fleet: &Fleet) -> Limits {
    const SIZES: [usize; 7] = [1, 2, 3, 5, 8, 50, 500];
    let size = SIZES[rng.random_range(0..SIZES.len())];
    let page_items = size.max(writers.longest_unreadable_run() + 1);
    let calm = Limits {
        page_items,
        ..Limits::default()
    };
    if writers.pages(fleet, page_items) > MAX_PAGES_BESIDE_LOSSES {
        return calm;
    }
    Limits {
        reads_per_s: rng.random_bool(0.3).then(|| fleet.vms.len() * 8),
        lose_each: rng.random_bool(0.5).then(|| rng.random_range(3..8)),
        page_delay: Duration::from_millis([0, 50, 300][rng.random_range(0..3)]),
        watch_delay: Duration::from_millis([0, 0, 300, 850][rng.random_range(0..4)]),
        ..calm
    }
}

/// Something that happens to the fleet or its store.
#[derive(Debug, Clone, Copy)]
enum Event {
    Step(Step),
    Limits(Limits),
    CutWatches,
}

/// Draws events that follow each other, with the pause after each. The next draw does not wait for their end.
fn draw_events(rng: &mut ChaCha8Rng, vm_count: usize) -> Vec<(Event, Duration)> {
    let pause = Duration::from_millis(rng.random_range(20..700));
    let first_vm = rng.random_range(0..vm_count);
    let vms = || (0..vm_count).map(|offset| (first_vm + offset) % vm_count);
    let at_once = |step: fn(usize) -> Step| vms().map(move |vm| (step(vm), Duration::ZERO));
    let then_pause = |mut steps: Vec<(Step, Duration)>| {
        if let Some((_, last)) = steps.last_mut() {
            *last = pause;
        }
        steps
    };
    let mode = [Mode::Busy, Mode::Silent][rng.random_range(0..2)];
    let steps: Vec<(Step, Duration)> = match rng.random_range(0..11) {
        0 | 1 => then_pause(at_once(Step::Kill).collect())
            .into_iter()
            .chain(at_once(Step::Restart))
            .collect(),
        2 => vms()
            .take(3)
            .flat_map(|vm| [(Step::Stop(vm), pause), (Step::Restart(vm), pause)])
            .collect(),
        3 => then_pause(at_once(Step::Stop).take(vm_count / 2).collect())
            .into_iter()
            .chain(at_once(Step::Restart))
            .collect(),
        4 => vec![
            (Step::Store(mode), pause),
            (Step::Store(Mode::Up), Duration::ZERO),
        ],
        5 => vec![
            (Step::StoreFor(first_vm, mode), pause),
            (Step::StoreFor(first_vm, Mode::Up), Duration::ZERO),
        ],
        6 => vec![
            (Step::Pause(first_vm), pause),
            (Step::Wake(first_vm), Duration::ZERO),
        ],
        7 => vec![
            (Step::Compact, Duration::ZERO),
            (Step::Reload(first_vm), pause),
            (Step::ChangeLimits, Duration::ZERO),
        ],
        8 => vec![
            (Step::Drain(first_vm % 6), pause),
            (Step::List(first_vm % 6), Duration::ZERO),
        ],
        9 => return vec![(Event::CutWatches, Duration::ZERO)],
        _ => {
            let limits = Limits {
                page_items: [1, 2, 4, 20, 500][rng.random_range(0..5)],
                reads_per_s: rng.random_bool(0.4).then(|| rng.random_range(2..40)),
                lose_each: rng.random_bool(0.4).then(|| rng.random_range(2..6)),
                page_delay: Duration::from_millis([0, 0, 100, 1_700][rng.random_range(0..4)]),
                watch_delay: Duration::from_millis([0, 0, 300, 1_700][rng.random_range(0..4)]),
            };
            return vec![
                (Event::Limits(limits), pause),
                (Event::Limits(Limits::default()), Duration::ZERO),
            ];
        }
    };
    let events = steps.into_iter();
    events
        .map(|(step, pause)| (Event::Step(step), pause))
        .collect()
}

/// Waits until a VM serves requests of a plain route and of one with stages, at most until `deadline`. Returns the
/// route that it does not serve.
async fn unserved_route(
    vm: SocketAddr,
    deadline: Instant,
    probes: &AtomicUsize,
    observations: &Observations,
) -> Option<&'static str> {
    for path in ["/look/x", "/stream/x"] {
        loop {
            let id = format!("probe-{}", probes.fetch_add(1, Ordering::Relaxed));
            let answer = request(vm, path, &id, "key-1").await;
            let is_served = answer
                .as_ref()
                .is_some_and(|answer| answer.status == 200 && answer.is_complete);
            observations.check(&id, path, answer);
            if Instant::now() > deadline {
                return Some(path);
            }
            if is_served {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    None
}

fn page_calls(fleet: &Fleet) -> usize {
    let calls = fleet.store.paths_with("kv-range").into_iter();
    calls.filter(|path| !path.contains("AllowStale")).count()
}

/// Kills all VMs, lets other writers change their entries, and starts all VMs.
async fn check_recovery(
    rng: &mut ChaCha8Rng,
    fleet: &mut Fleet,
    writers: &mut OtherWriters,
    states: &VmStates,
    observations: &Observations,
    probes: &AtomicUsize,
) -> Duration {
    for vm in 0..fleet.vms.len() {
        apply(fleet, states, Step::Kill(vm)).await;
    }
    for _ in 0..rng.random_range(0..40) {
        writers.change(rng, fleet);
    }
    let limits = draw_limits(rng, writers, fleet);
    fleet.store.set_limits(limits);
    let is_away = rng.random_bool(0.3);
    if is_away {
        fleet.store.set_mode(Mode::Busy);
    }
    let (calls_before, began) = (page_calls(fleet), Instant::now());
    for vm in 0..fleet.vms.len() {
        apply(fleet, states, Step::Restart(vm)).await;
    }
    if is_away {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        fleet.store.set_mode(Mode::Up);
    }
    let started = Instant::now();
    let checks = fleet.vms.iter().map(|vm| {
        let deadline = started + RECOVERY_TIMEOUT;
        unserved_route(vm.caller_address(), deadline, probes, observations)
    });
    let unserved = join_all(checks).await;
    let took = started.elapsed();
    for (vm, path) in unserved.into_iter().enumerate() {
        if let Some(path) = path {
            observations.record_violation(format!(
                "vm-{vm} does not serve {path} within {RECOVERY_TIMEOUT:?} after the start of all VMs, {limits:?}, \
                 {} odd entries, store away at first: {is_away}",
                writers.items.len()
            ));
        }
    }
    let calls = page_calls(fleet) - calls_before;
    let pages = fleet.vms.len() * LISTINGS_OF_START * writers.pages(fleet, limits.page_items);
    let others = began.elapsed().as_secs_f64() * fleet.vms.len() as f64 * MAX_CALLS_PER_S;
    if calls as f64 > pages as f64 + others {
        observations.record_violation(format!(
            "{calls} pages asked for after the start of all VMs, of {pages} and {others:.0}, {limits:?}"
        ));
    }
    took
}

/// Checks that no process reports a change of an entry more than once.
fn check_reports(fleet: &Fleet, writers: &OtherWriters, observations: &Observations) {
    for vm in &fleet.vms {
        let mut reported: HashMap<String, usize> = HashMap::new();
        let mut seen: HashSet<String> = HashSet::new();
        for text in vm.log().lines() {
            // A process that is killed may leave the start of a line, to which the next one appends its first.
            if text.contains("\"vm: started\"") {
                reported.clear();
                seen.clear();
            }
            let Ok(line) = serde_json::from_str::<Value>(text) else {
                continue;
            };
            let field = |name: &str| line[name].as_str().unwrap_or_default();
            let (key, change) = match field("msg") {
                "endpoints: an entry cannot be used" => (
                    format!("servers/{}", field("endpoint")),
                    line["revision"].to_string(),
                ),
                "evacuation: no data centre has this name" => {
                    let key = format!("op/evacuate/{}", field("data_centre"));
                    let count = reported.get(&key).copied().unwrap_or_default();
                    (key, count.to_string())
                }
                "store: an item cannot be read" => (String::new(), field("item").to_owned()),
                _ => continue,
            };
            if !seen.insert(format!("{key} {change}")) {
                observations
                    .record_violation(format!("{}: reported more than once: {text}", vm.name));
            }
            let count = reported.entry(key.clone()).or_default();
            *count += 1;
            let changes = writers.changes.get(&key).copied();
            if changes.is_some_and(|changes| *count > changes) {
                observations.record_violation(format!(
                    "{}: {count} reports of {} changes: {text}",
                    vm.name,
                    changes.unwrap_or_default()
                ));
            }
        }
    }
}

/// Runs one seed and returns the violations found.
pub async fn soak_odd_entries(seed: u64, vm_count: usize, duration: Duration) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut fleet = start_fleet(vm_count).await;
    let callers: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address()).collect();
    let ports = |port: u16| fleet.vms.iter().map(|vm| (vm.ip, port).into()).collect();
    let directory = Arc::new(Mutex::new(callers));
    let observations = Arc::new(Observations::default());
    let states = Arc::new(VmStates::all_running(vm_count));
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(follow_directory(
        ports(8620),
        Arc::clone(&directory),
        Arc::clone(&stop),
    ));
    for number in 0..CALLER_COUNT {
        tasks.spawn(send_requests(
            number,
            Arc::clone(&directory),
            Arc::clone(&observations),
            Arc::clone(&stop),
        ));
    }
    tasks.spawn(check_liveness(
        ports(8621),
        Arc::clone(&states),
        Arc::clone(&observations),
        Arc::clone(&stop),
    ));
    let calls_before = fleet.store.call_count();
    let mut writers = OtherWriters::default();
    // Each VM may list the store at the start of the run.
    let (mut listings, mut max_pages) = (vm_count, 0);
    let started = Instant::now();
    let (mut next_change, mut next_series) = (started, started);
    let mut scheduled: Vec<(Instant, Event)> = Vec::new();
    let mut events = Vec::new();
    while started.elapsed() < duration {
        let now = Instant::now();
        if now >= next_change {
            for _ in 0..entries_rng.random_range(1..4) {
                writers.change(&mut entries_rng, &fleet);
            }
            max_pages = writers.pages(&fleet, 1).max(max_pages);
            let gap_ms = entries_rng.random_range(0..MAX_ENTRY_GAP_MS);
            next_change = now + Duration::from_millis(gap_ms);
        }
        if now >= next_series {
            schedule(&mut scheduled, now, draw_events(&mut rng, vm_count));
            next_series = now + Duration::from_millis(rng.random_range(0..MAX_SERIES_GAP_MS));
        }
        scheduled.sort_by_key(|(at, _)| *at);
        let due = scheduled.partition_point(|(at, _)| *at <= now);
        for (_, event) in scheduled.drain(..due) {
            let elapsed_s = started.elapsed().as_secs_f64();
            events.push(format!("{event:?} at {elapsed_s:.1} s"));
            match event {
                Event::Step(step) => {
                    listings += match step {
                        Step::Restart(_) => LISTINGS_OF_START,
                        Step::Compact => vm_count,
                        _ => 0,
                    };
                    apply(&mut fleet, &states, step).await;
                }
                Event::Limits(limits) => fleet.store.set_limits(limits),
                Event::CutWatches => fleet.store.cut_watches(),
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    fleet.store.set_limits(Limits::default());
    end_all_faults(&mut fleet, &states).await;
    let probes = AtomicUsize::new(0);
    let mut longest = Duration::ZERO;
    for _ in 0..RECOVERIES {
        let took = check_recovery(
            &mut entries_rng,
            &mut fleet,
            &mut writers,
            &states,
            &observations,
            &probes,
        );
        longest = longest.max(took.await);
        max_pages = writers.pages(&fleet, 1).max(max_pages);
    }
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    observations.check_runs(&fleet);
    observations.check_handlers(&fleet);
    check_reports(&fleet, &writers, &observations);
    let (malformed, path) = fleet.store.malformed_calls();
    if malformed > 0 {
        observations.record_violation(format!(
            "{malformed} malformed calls to the store, as {path}"
        ));
    }
    listings += vm_count * LISTINGS_OF_START * (RECOVERIES + 1);
    let calls = fleet.store.call_count() - calls_before;
    let others = started.elapsed().as_secs_f64() * vm_count as f64 * MAX_CALLS_PER_S;
    if calls as f64 > (listings * max_pages) as f64 + others {
        observations.record_violation(format!(
            "{calls} calls to the store, of {listings} listings of {max_pages} pages and {others:.0}"
        ));
    }
    println!(
        "odd entries seed {seed}: {vm_count} VMs, {} requests sent, {} served, {} events, {} changes of odd entries, \
         served {longest:.2?} after the starts at most, {calls} calls to the store",
        observations.sent.load(Ordering::Relaxed),
        observations.succeeded.load(Ordering::Relaxed),
        events.len(),
        writers.changes.values().sum::<usize>(),
    );
    let violations = observations.violations.lock().clone();
    if !violations.is_empty() {
        println!("odd entries seed {seed}: violations: {violations:#?}\nevents: {events:#?}");
        crate::keep_logs(&fleet, &format!("odd-entries-{seed}"));
    }
    violations
}
