//! A seeded soak: VMs as processes, callers that keep sending, faults from outside.
//!
//! Each seed gives one plan of faults: kills, pauses, planned stops and restarts of VMs, outages
//! of the store for all or one VM, faults and restarts of endpoints, configurations, evacuations,
//! and a loopback proxy between VMs and one endpoint that delays, cuts or silences. The promises
//! are checked from what callers and endpoints see. `SOAK_SEED`, `SOAK_RUNS` and `SOAK_SECONDS`
//! choose the seeds; `SOAK_SEEDS.txt` beside this file lists the seeds that ever failed.

mod users_platform;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use users_platform::backend::{EVENTS, Fault};
use users_platform::caller::{Got, request};
use users_platform::store::Mode;
use users_platform::{DATA_CENTRES, Fleet};

/// VMs of one soak.
const VMS: usize = 4;
/// Callers of one soak; each sends one request after the other.
const CALLERS: usize = 6;
/// Time between two faults, at most.
const FAULT_GAP_MS: u64 = 900;
/// Time after the last fault in which service is back.
const RECOVER: Duration = Duration::from_secs(12);

/// What callers saw, and what breaks a promise.
#[derive(Default)]
struct Seen {
    sent: AtomicU64,
    answered: AtomicU64,
    answers: Mutex<HashMap<String, (String, Option<Got>)>>,
    broken: Mutex<Vec<String>>,
}

impl Seen {
    fn break_promise(&self, what: String) {
        self.broken.lock().push(what);
    }

    /// Checks one answer on its own.
    fn check(&self, id: &str, path: &str, got: Option<Got>) {
        if let Some(got) = &got
            && got.status == 200
        {
            self.answered.fetch_add(1, Ordering::Relaxed);
            if !got.is_signed {
                self.break_promise(format!("{id}: a success without signature"));
            }
            if path.contains("stream") {
                self.check_stream(id, got);
            } else if got.is_whole && got.body != format!("answer to {id}") {
                self.break_promise(format!("{id}: another answer: {:?}", got.body));
            }
        }
        self.answers
            .lock()
            .insert(id.to_owned(), (path.to_owned(), got));
    }

    fn check_stream(&self, id: &str, got: &Got) {
        let numbers = got
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u64> = numbers.filter_map(|text| text.parse().ok()).collect();
        let is_in_order = events
            .iter()
            .enumerate()
            .all(|(place, event)| place as u64 == *event);
        if !is_in_order {
            self.break_promise(format!("{id}: events {events:?}"));
        }
        if got.is_whole && events.len() as u64 != EVENTS {
            self.break_promise(format!("{id}: complete after {} events", events.len()));
        }
        let foreign = got.body.lines().filter(|line| line.starts_with("data: "));
        if foreign.clone().any(|line| !line.ends_with(id)) {
            self.break_promise(format!("{id}: events of another request"));
        }
    }

    /// Checks what endpoints ran against what callers were told.
    fn check_runs(&self, fleet: &Fleet) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for backend in &fleet.backends {
            for received in backend.received() {
                let is_request = !received.path.starts_with("/api/");
                if is_request && received.header("tenant") != Some("org-1") {
                    self.break_promise(format!("{}: another organisation", received.id));
                }
                if is_request && received.header("authorization").is_some() {
                    self.break_promise(format!("{}: an endpoint sees the key", received.id));
                }
                if is_request && received.has_run {
                    *runs.entry(received.id).or_default() += 1;
                }
            }
        }
        let answers = self.answers.lock();
        for (id, count) in runs {
            let Some((path, got)) = answers.get(&id) else {
                self.break_promise(format!("{id}: runs, and no caller sent it"));
                continue;
            };
            let once = path.contains("/pay/") || path.contains("/once-stream/");
            if once && count > 1 {
                self.break_promise(format!("{id}: ran {count} times"));
            }
            let status = got.as_ref().map_or(0, |got| got.status);
            if once && matches!(status, 408 | 421 | 429 | 503) {
                self.break_promise(format!("{id}: answered {status} and ran"));
            }
        }
    }
}

/// Sends requests over and over, to the VMs that the directory names.
async fn call_on(
    number: usize,
    directory: Arc<Mutex<Vec<SocketAddr>>>,
    seen: Arc<Seen>,
    stop: Arc<AtomicBool>,
) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let path = ["/look/x", "/pay/x", "/stream/x", "/once-stream/x"][(number + round) % 4];
        let id = format!("{number}-{round}");
        let address = {
            let addresses = directory.lock();
            addresses[(number + round) % addresses.len()]
        };
        seen.sent.fetch_add(1, Ordering::Relaxed);
        let got = request(address, path, &id, "key-1").await;
        seen.check(&id, path, got);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Keeps the addresses that any running VM names.
async fn follow_directory(
    names: Vec<SocketAddr>,
    directory: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) {
    let client = |address: SocketAddr| async move {
        let path = "/api/resolve?Name=h.example&Region=r&Zone=nowhere";
        let limit = Duration::from_millis(300);
        let call = primrosewalk::http::Call::get(address, path, limit);
        let (_, body) = primrosewalk::http::fetch(&call, limit).await.ok()?;
        let answer: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let list = answer["Addresses"].as_array()?.clone();
        let list = list
            .iter()
            .filter_map(|address| address.as_str()?.parse().ok());
        Some(list.collect::<Vec<SocketAddr>>())
    };
    while !stop.load(Ordering::Relaxed) {
        for address in &names {
            if let Some(list) = client(*address).await
                && !list.is_empty()
            {
                *directory.lock() = list;
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// One fault of a plan.
#[derive(Debug, Clone, Copy)]
enum Step {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Stop(usize),
    Reload(usize),
    Store(Mode),
    StoreFor(usize, Mode),
    Compact,
    Endpoint(usize, Fault),
    EndpointDown(usize),
    EndpointUp(usize),
    Evacuate(usize),
    TakeBack(usize),
    Link(usize, &'static str),
    Configure,
}

fn draw_step(rng: &mut ChaCha8Rng) -> Step {
    const FAULTS: [Fault; 9] = [
        Fault::None,
        Fault::Full,
        Fault::LoseAnswer,
        Fault::Hang,
        Fault::WrongId,
        Fault::Unsigned,
        Fault::Truncate,
        Fault::Error,
        Fault::Extra,
    ];
    const LINKS: [&str; 7] = [
        "pass",
        "delay?ms=30",
        "delay?ms=400",
        "cut",
        "freeze",
        "half-open?forward=to",
        "half-open?forward=from",
    ];
    let modes = [Mode::Up, Mode::Busy, Mode::Silent];
    let vm = rng.random_range(0..VMS);
    let endpoint = rng.random_range(0..6);
    let data_centre = rng.random_range(0..3);
    match rng.random_range(0..19) {
        0 => Step::Kill(vm),
        1 | 2 => Step::Restart(vm),
        3 => Step::Pause(vm),
        4 | 5 => Step::Wake(vm),
        6 => Step::Stop(vm),
        7 => Step::Reload(vm),
        8 => Step::Store(modes[rng.random_range(0..3)]),
        9 => Step::StoreFor(vm, modes[rng.random_range(0..3)]),
        10 => Step::Compact,
        11 | 12 => Step::Endpoint(endpoint, FAULTS[rng.random_range(0..9)]),
        13 => Step::EndpointDown(endpoint),
        14 => Step::EndpointUp(endpoint),
        15 if rng.random_bool(0.5) => Step::Evacuate(data_centre),
        15 => Step::TakeBack(data_centre),
        16 | 17 => Step::Link(endpoint, LINKS[rng.random_range(0..LINKS.len())]),
        _ => Step::Configure,
    }
}

async fn apply(fleet: &mut Fleet, step: Step) {
    match step {
        Step::Kill(vm) => fleet.vms[vm].kill(),
        Step::Restart(vm) => {
            fleet.vms[vm].kill();
            fleet.vms[vm].start();
        }
        Step::Pause(vm) if fleet.vms[vm].is_running() => fleet.vms[vm].signal(Signal::STOP),
        Step::Wake(vm) if fleet.vms[vm].is_running() => fleet.vms[vm].signal(Signal::CONT),
        Step::Stop(vm) if fleet.vms[vm].is_running() => fleet.vms[vm].signal(Signal::TERM),
        Step::Reload(vm) if fleet.vms[vm].is_running() => fleet.vms[vm].signal(Signal::HUP),
        Step::Pause(_) | Step::Wake(_) | Step::Stop(_) | Step::Reload(_) => {}
        Step::Store(mode) => fleet.store.set_mode(mode),
        Step::StoreFor(vm, mode) => fleet.store.set_mode_for(fleet.vms[vm].ip.into(), mode),
        Step::Compact => fleet.store.compact(),
        Step::Endpoint(endpoint, fault) => fleet.backends[endpoint].set_fault(fault),
        Step::EndpointDown(endpoint) => fleet.backends[endpoint].stop(),
        Step::EndpointUp(endpoint) => {
            fleet.backends[endpoint].stop();
            fleet.backends[endpoint].resume().await;
        }
        Step::Evacuate(index) => {
            let key = format!("op/evacuate/{}", DATA_CENTRES[index]);
            fleet.store.put(&key, &json!({}));
        }
        Step::TakeBack(index) => {
            fleet
                .store
                .delete(&format!("op/evacuate/{}", DATA_CENTRES[index]));
        }
        Step::Link(endpoint, mode) => fleet.set_link(Some(endpoint), mode).await,
        Step::Configure => fleet.change(|configuration| {
            configuration["Routes"][0]["TimeoutMs"] = json!(2_900);
        }),
    }
}

/// Ends all faults.
async fn heal(fleet: &mut Fleet) {
    for vm in 0..VMS {
        fleet.store.set_mode_for(fleet.vms[vm].ip.into(), Mode::Up);
        // Also replaces those that a planned stop ends soon.
        apply(fleet, Step::Restart(vm)).await;
    }
    fleet.store.set_mode(Mode::Up);
    fleet.set_link(None, "pass").await;
    for endpoint in 0..fleet.backends.len() {
        apply(fleet, Step::Endpoint(endpoint, Fault::None)).await;
        apply(fleet, Step::EndpointUp(endpoint)).await;
    }
    for index in 0..DATA_CENTRES.len() {
        apply(fleet, Step::TakeBack(index)).await;
    }
}

/// Runs one seed and returns the promises that it broke.
async fn soak(seed: u64, faults_for: Duration) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start_proxied(VMS).await;
    let names: Vec<SocketAddr> = fleet.vms.iter().map(|vm| (vm.ip, 8620).into()).collect();
    let callers: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller()).collect();
    let directory = Arc::new(Mutex::new(callers));
    let seen = Arc::new(Seen::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    let (shared, stopping) = (Arc::clone(&directory), Arc::clone(&stop));
    tasks.spawn(follow_directory(names, shared, stopping));
    for number in 0..CALLERS {
        let shared = (Arc::clone(&directory), Arc::clone(&seen), Arc::clone(&stop));
        tasks.spawn(call_on(number, shared.0, shared.1, shared.2));
    }
    let started = Instant::now();
    let mut steps = Vec::new();
    while started.elapsed() < faults_for {
        let step = draw_step(&mut rng);
        steps.push(format!(
            "{:?} at {:.1} s",
            step,
            started.elapsed().as_secs_f64()
        ));
        apply(&mut fleet, step).await;
        let gap = rng.random_range(0..FAULT_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
    }
    heal(&mut fleet).await;
    let healed = Instant::now();
    let mut in_a_row = 0;
    let mut probe = 0;
    while in_a_row < 8 && healed.elapsed() < RECOVER {
        probe += 1;
        let id = format!("probe-{probe}");
        let address = fleet.vms[probe % VMS].caller();
        let got = request(address, "/stream/x", &id, "key-1").await;
        let is_served = got
            .as_ref()
            .is_some_and(|got| got.status == 200 && got.is_whole);
        seen.check(&id, "/stream/x", got);
        in_a_row = if is_served { in_a_row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    if in_a_row < 8 {
        seen.break_promise(format!("no service {RECOVER:?} after the last fault"));
    }
    seen.check_runs(&fleet);
    let (sent, answered) = (&seen.sent, &seen.answered);
    let (sent, answered) = (
        sent.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed),
    );
    println!(
        "seed {seed}: {sent} sent, {answered} answered, {} faults",
        steps.len()
    );
    let broken = seen.broken.lock().clone();
    if !broken.is_empty() {
        println!("seed {seed} breaks {broken:#?}\nfaults: {steps:#?}");
        if let Ok(folder) = std::env::var("SOAK_LOGS") {
            for vm in &fleet.vms {
                let _ = std::fs::write(format!("{folder}/{seed}-{}.log", vm.name), vm.log());
            }
        }
    }
    broken
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let number = |name: &str, usual: u64| -> u64 {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    let listed = include_str!("SOAK_SEEDS.txt");
    let listed = listed
        .lines()
        .filter_map(|line| line.split_whitespace().next()?.parse().ok());
    let seeds: Vec<u64> = match std::env::var("SOAK_SEED") {
        Ok(_) => {
            let first = number("SOAK_SEED", 1);
            (first..first + number("SOAK_RUNS", 1)).collect()
        }
        Err(_) => listed.chain([1, 2]).collect(),
    };
    let faults_for = Duration::from_secs(number("SOAK_SECONDS", 8));
    let mut broken = Vec::new();
    for seed in seeds {
        let found = soak(seed, faults_for).await;
        broken.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
