//! Soak test with seeded random faults: VMs run as processes while callers send requests without
//! pause.
//!
//! Each seed gives faults, alone or in series that overlap: kills, pauses, planned stops and
//! restarts of VMs, outages of the store for all VMs or for one, faults, restarts and departures of
//! endpoints, new configurations, evacuations, and a loopback proxy that delays, cuts or silences
//! the connections between VMs and one endpoint. Half of the callers keep their connections open
//! until a VM closes them. The guarantees of the system are checked from what callers and endpoints
//! see. `SOAK_SEED` is the first seed, `SOAK_RUNS` the number of seeds, `SOAK_SECONDS` the time
//! during which faults occur for each seed and `SOAK_VMS` the number of VMs. `SOAK_SEEDS.txt` beside
//! this file lists the seeds that have ever failed.

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
use users_platform::caller::{CallerAnswer, KeptConnection, request};
use users_platform::store::Mode;
use users_platform::{DATA_CENTRES, Fleet, eventually};

/// Number of VMs, unless `SOAK_VMS` is set.
const DEFAULT_VM_COUNT: usize = 4;
/// Number of concurrent callers; each sends one request after the other.
const CALLER_COUNT: usize = 6;
/// Number of endpoints.
const ENDPOINT_COUNT: usize = 6;
/// Endpoint of the service `plain` that leaves at the end of each run; another one stays.
const LEAVING_ENDPOINT: usize = 0;
/// Time after which a VM that can reach the store again counts as in contact.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Upper bound of the time between two faults.
const MAX_FAULT_GAP_MS: u64 = 900;
/// Timeout for requests to be served again after all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Answers that callers received, and violations of the system's guarantees.
#[derive(Default)]
struct Observations {
    sent: AtomicU64,
    /// Number of answers with status 200.
    succeeded: AtomicU64,
    /// Path and answer by request id.
    answers: Mutex<HashMap<String, (String, Option<CallerAnswer>)>>,
    violations: Mutex<Vec<String>>,
}

impl Observations {
    fn record_violation(&self, violation: String) {
        self.violations.lock().push(violation);
    }

    /// Checks one answer by itself and stores it.
    fn check(&self, id: &str, path: &str, answer: Option<CallerAnswer>) {
        if let Some(answer) = &answer
            && answer.status == 200
        {
            self.succeeded.fetch_add(1, Ordering::Relaxed);
            if !answer.is_signed {
                self.record_violation(format!("{id}: an answer with status 200 has no signature"));
            }
            if path.contains("stream") {
                self.check_stream(id, answer);
            } else if answer.is_complete && answer.body != format!("answer to {id}") {
                self.record_violation(format!(
                    "{id}: the body is not that of this request: {:?}",
                    answer.body
                ));
            }
        }
        self.answers
            .lock()
            .insert(id.to_owned(), (path.to_owned(), answer));
    }

    /// Checks that the events of a stream are in order, belong to the request, and are all there if
    /// the stream ended regularly.
    fn check_stream(&self, id: &str, answer: &CallerAnswer) {
        let numbers = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u64> = numbers.filter_map(|text| text.parse().ok()).collect();
        let is_in_order = events
            .iter()
            .enumerate()
            .all(|(place, event)| place as u64 == *event);
        if !is_in_order {
            self.record_violation(format!(
                "{id}: the events do not count up from 0 without gaps: {events:?}"
            ));
        }
        if answer.is_complete && events.len() as u64 != EVENTS {
            self.record_violation(format!(
                "{id}: the stream ended as complete after {} events",
                events.len()
            ));
        }
        let data_lines = answer
            .body
            .lines()
            .filter(|line| line.starts_with("data: "));
        if data_lines.clone().any(|line| !line.ends_with(id)) {
            self.record_violation(format!(
                "{id}: the stream contains events of another request"
            ));
        }
    }

    /// Checks the requests that endpoints received and ran against the answers that callers got.
    fn check_runs(&self, fleet: &Fleet) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for backend in &fleet.backends {
            for received in backend.received() {
                let is_request = !received.path.starts_with("/api/");
                if is_request && received.header("tenant") != Some("org-1") {
                    self.record_violation(format!(
                        "{}: an endpoint received it without the caller's organisation org-1",
                        received.id
                    ));
                }
                if is_request && received.header("authorization").is_some() {
                    self.record_violation(format!(
                        "{}: an endpoint received the caller's API key",
                        received.id
                    ));
                }
                if is_request && received.has_run {
                    *runs.entry(received.id).or_default() += 1;
                }
            }
        }
        let answers = self.answers.lock();
        for (id, count) in runs {
            let Some((path, answer)) = answers.get(&id) else {
                self.record_violation(format!("{id}: an endpoint ran it, but no caller sent it"));
                continue;
            };
            let at_most_once = path.contains("/pay/") || path.contains("/once-stream/");
            if at_most_once && count > 1 {
                self.record_violation(format!("{id}: an at-most-once request ran {count} times"));
            }
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if at_most_once && matches!(status, 408 | 421 | 429 | 503) {
                self.record_violation(format!(
                    "{id}: status {status} states that it has not run, but an endpoint ran it"
                ));
            }
        }
    }
}

/// Sends requests one after the other to the VMs that the directory names, until `stop` is set.
async fn send_requests(
    number: usize,
    directory: Arc<Mutex<Vec<SocketAddr>>>,
    observations: Arc<Observations>,
    stop: Arc<AtomicBool>,
) {
    let mut round = 0;
    let mut kept = KeptConnection::default();
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let path = ["/look/x", "/pay/x", "/stream/x", "/once-stream/x"][(number + round) % 4];
        let id = format!("{number}-{round}");
        let address = {
            let addresses = directory.lock();
            addresses[(number + round) % addresses.len()]
        };
        observations.sent.fetch_add(1, Ordering::Relaxed);
        let answer = match number % 2 {
            0 => request(address, path, &id, "key-1").await,
            _ => kept.request(address, path, &id, "key-1").await,
        };
        observations.check(&id, path, answer);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Updates `directory` every 300 ms with the addresses that the first VM to answer names, until
/// `stop` is set.
async fn follow_directory(
    directory_servers: Vec<SocketAddr>,
    directory: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) {
    let fetch_addresses = |address: SocketAddr| async move {
        let path = "/api/resolve?Name=h.example&Region=r&Zone=nowhere";
        let timeout = Duration::from_millis(300);
        let call = primrosewalk::http::Call::get(address, path, timeout);
        let (_, body) = primrosewalk::http::fetch(&call, timeout).await.ok()?;
        let answer: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let list = answer["Addresses"].as_array()?.clone();
        let list = list
            .iter()
            .filter_map(|address| address.as_str()?.parse().ok());
        Some(list.collect::<Vec<SocketAddr>>())
    };
    while !stop.load(Ordering::Relaxed) {
        for address in &directory_servers {
            if let Some(list) = fetch_addresses(*address).await
                && !list.is_empty()
            {
                *directory.lock() = list;
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// One step of the fault series: starts or ends a fault, or changes the configuration. Numbers are
/// indices of VMs, endpoints or data centres.
#[derive(Debug, Clone, Copy)]
enum Step {
    Kill(usize),
    Restart(usize),
    /// Stops the VM's process by SIGSTOP until [`Step::Wake`].
    Pause(usize),
    Wake(usize),
    /// Planned stop by SIGTERM.
    Stop(usize),
    /// Makes the VM read its settings again (SIGHUP).
    Reload(usize),
    Store(Mode),
    StoreFor(usize, Mode),
    /// Drops the store's history.
    Compact,
    Endpoint(usize, Fault),
    EndpointDown(usize),
    EndpointUp(usize),
    /// Lists the endpoint as draining.
    Drain(usize),
    /// Removes the endpoint's entry, though it goes on serving.
    Unlist(usize),
    /// Lists the endpoint as ready.
    List(usize),
    Evacuate(usize),
    /// Ends the evacuation of a data centre.
    TakeBack(usize),
    /// Sets how the proxy treats the connections to an endpoint.
    Link(usize, &'static str),
    /// Publishes a new version of the configuration.
    Configure,
}

/// Draws the next step of the fault series.
fn draw_step(rng: &mut ChaCha8Rng, vm_count: usize) -> Step {
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
    let vm = rng.random_range(0..vm_count);
    let endpoint = rng.random_range(0..ENDPOINT_COUNT);
    let data_centre = rng.random_range(0..3);
    match rng.random_range(0..22) {
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
        18 => Step::Drain(endpoint),
        19 => Step::Unlist(endpoint),
        20 => Step::List(endpoint),
        _ => Step::Configure,
    }
}

/// Draws steps that follow each other, with the pause after each: mostly a single one, otherwise the
/// same kind of step at several VMs or endpoints. The next draw does not wait for their end.
fn draw_series(rng: &mut ChaCha8Rng, vm_count: usize) -> Vec<(Step, Duration)> {
    let pause = Duration::from_millis(rng.random_range(20..400));
    let first_vm = rng.random_range(0..vm_count);
    let vms = (0..vm_count.min(8)).map(|offset| (first_vm + offset) % vm_count);
    let in_series = |steps: Vec<Step>| steps.into_iter().map(|step| (step, pause)).collect();
    match rng.random_range(0..12) {
        0 => in_series(
            vms.flat_map(|vm| [Step::Stop(vm), Step::Restart(vm)])
                .collect(),
        ),
        1 => in_series(
            vms.flat_map(|vm| [Step::Reload(vm), Step::Configure])
                .collect(),
        ),
        2 => in_series(
            vms.flat_map(|vm| [Step::Pause(vm), Step::Wake(vm)])
                .collect(),
        ),
        3 => in_series(
            (0..ENDPOINT_COUNT)
                .step_by(2)
                .flat_map(|endpoint| [Step::Drain(endpoint), Step::Unlist(endpoint)])
                .chain((0..ENDPOINT_COUNT).map(Step::List))
                .collect(),
        ),
        _ => vec![(draw_step(rng, vm_count), Duration::ZERO)],
    }
}

/// Carries out one step. Signals to a VM that does not run are left out.
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
        Step::Drain(endpoint) => fleet.list_backend(endpoint, "draining"),
        Step::Unlist(endpoint) => {
            let key = format!("servers/{}", fleet.backends[endpoint].id);
            fleet.store.delete(&key);
        }
        Step::List(endpoint) => fleet.list_backend(endpoint, "ready"),
        Step::Evacuate(index) => {
            let key = format!("op/evacuate/{}", DATA_CENTRES[index]);
            fleet.store.put(&key, &json!({}));
        }
        Step::TakeBack(index) => {
            fleet
                .store
                .delete(&format!("op/evacuate/{}", DATA_CENTRES[index]));
        }
        Step::Link(endpoint, mode) => fleet.set_link_mode(Some(endpoint), mode).await,
        Step::Configure => fleet.change_configuration(|configuration| {
            configuration["Routes"][0]["TimeoutMs"] = json!(2_900);
        }),
    }
}

/// Ends all faults and restarts all VMs and endpoints.
async fn end_all_faults(fleet: &mut Fleet) {
    for vm in 0..fleet.vms.len() {
        fleet.store.set_mode_for(fleet.vms[vm].ip.into(), Mode::Up);
        // A VM in a planned stop is restarted as well: its process still runs but would soon exit.
        apply(fleet, Step::Restart(vm)).await;
    }
    fleet.store.set_mode(Mode::Up);
    fleet.set_link_mode(None, "pass").await;
    for endpoint in 0..fleet.backends.len() {
        apply(fleet, Step::Endpoint(endpoint, Fault::None)).await;
        apply(fleet, Step::EndpointUp(endpoint)).await;
        apply(fleet, Step::List(endpoint)).await;
    }
    for index in 0..DATA_CENTRES.len() {
        apply(fleet, Step::TakeBack(index)).await;
    }
}

/// Lets an endpoint leave while one VM returns to the store and another asks it for changes, and
/// checks that no VM sends it requests once the time for it has passed.
async fn check_departure(fleet: &Fleet, observations: &Observations) {
    let (returning, asking) = (&fleet.vms[0], &fleet.vms[1]);
    let count = |message: &str| returning.log().matches(message).count();
    let change_store = || fleet.list_backend(LEAVING_ENDPOINT + 1, "ready");
    let (losses, returns) = (
        count("store: cannot be reached"),
        count("store: answers again"),
    );
    fleet.store.set_mode_for(returning.ip.into(), Mode::Busy);
    // The change ends the open watch, whose answer does not depend on the mode.
    change_store();
    eventually("the VM loses the store", || async {
        count("store: cannot be reached") > losses
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.set_mode_for(returning.ip.into(), Mode::Up);
    eventually("the VM reaches the store again", || async {
        count("store: answers again") > returns
    })
    .await;
    let key = format!("servers/{}", fleet.backends[LEAVING_ENDPOINT].id);
    fleet.store.delete(&key);
    let left_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // This VM knows of the departure, and learns of further changes from the others only.
    fleet.store.set_mode_for(asking.ip.into(), Mode::Silent);
    while left_at.elapsed() < CONTACT_TIME {
        change_store();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let received = || fleet.backends[LEAVING_ENDPOINT].received().len();
    let received_before = received();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let late = received() - received_before;
    if late > 0 {
        observations.record_violation(format!(
            "{late} requests reached an endpoint over {CONTACT_TIME:?} after it left"
        ));
    }
}

/// Runs the fault series of one seed and returns the violations found.
async fn soak(seed: u64, vm_count: usize, fault_duration: Duration) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start_proxied(vm_count).await;
    let directory_servers: Vec<SocketAddr> =
        fleet.vms.iter().map(|vm| (vm.ip, 8620).into()).collect();
    let callers: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.caller_address()).collect();
    let directory = Arc::new(Mutex::new(callers));
    let observations = Arc::new(Observations::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    let (shared, stopping) = (Arc::clone(&directory), Arc::clone(&stop));
    tasks.spawn(follow_directory(directory_servers, shared, stopping));
    for number in 0..CALLER_COUNT {
        let shared = (
            Arc::clone(&directory),
            Arc::clone(&observations),
            Arc::clone(&stop),
        );
        tasks.spawn(send_requests(number, shared.0, shared.1, shared.2));
    }
    let started = Instant::now();
    let mut steps = Vec::new();
    let mut scheduled: Vec<(Instant, Step)> = Vec::new();
    let mut next_draw = started;
    while started.elapsed() < fault_duration {
        let now = Instant::now();
        if now >= next_draw {
            let mut at = now;
            for (step, pause) in draw_series(&mut rng, vm_count) {
                scheduled.push((at, step));
                at += pause;
            }
            next_draw = now + Duration::from_millis(rng.random_range(0..MAX_FAULT_GAP_MS));
        }
        scheduled.sort_by_key(|(at, _)| *at);
        let due = scheduled.partition_point(|(at, _)| *at <= now);
        for (_, step) in scheduled.drain(..due) {
            let elapsed_s = started.elapsed().as_secs_f64();
            steps.push(format!("{step:?} at {elapsed_s:.1} s"));
            apply(&mut fleet, step).await;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    end_all_faults(&mut fleet).await;
    let faults_ended = Instant::now();
    let mut served_in_a_row = 0;
    let mut probe = 0;
    while served_in_a_row < 8 && faults_ended.elapsed() < RECOVERY_TIMEOUT {
        probe += 1;
        let id = format!("probe-{probe}");
        let address = fleet.vms[probe % vm_count].caller_address();
        let answer = request(address, "/stream/x", &id, "key-1").await;
        let is_served = answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.is_complete);
        observations.check(&id, "/stream/x", answer);
        served_in_a_row = if is_served { served_in_a_row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    check_departure(&fleet, &observations).await;
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    if served_in_a_row < 8 {
        observations.record_violation(format!(
            "no 8 requests in a row were served within {RECOVERY_TIMEOUT:?} after the last fault"
        ));
    }
    observations.check_runs(&fleet);
    let (sent, succeeded) = (&observations.sent, &observations.succeeded);
    let (sent, succeeded) = (
        sent.load(Ordering::Relaxed),
        succeeded.load(Ordering::Relaxed),
    );
    println!(
        "seed {seed}: {sent} requests sent, {succeeded} served, {} faults",
        steps.len()
    );
    let violations = observations.violations.lock().clone();
    if !violations.is_empty() {
        println!("seed {seed}: violations: {violations:#?}\nfaults: {steps:#?}");
        if let Ok(folder) = std::env::var("SOAK_LOGS") {
            for vm in &fleet.vms {
                let _ = std::fs::write(format!("{folder}/{seed}-{}.log", vm.name), vm.log());
            }
        }
    }
    violations
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let number_from_env = |name: &str, default: u64| -> u64 {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let seed_list = include_str!("SOAK_SEEDS.txt");
    let listed_seeds = seed_list
        .lines()
        .filter_map(|line| line.split_whitespace().next()?.parse().ok());
    let seeds: Vec<u64> = match std::env::var("SOAK_SEED") {
        Ok(_) => {
            let first = number_from_env("SOAK_SEED", 1);
            (first..first + number_from_env("SOAK_RUNS", 1)).collect()
        }
        Err(_) => listed_seeds.chain(1..=4).collect(),
    };
    let fault_duration = Duration::from_secs(number_from_env("SOAK_SECONDS", 8));
    let vm_count = number_from_env("SOAK_VMS", DEFAULT_VM_COUNT as u64) as usize;
    let mut all_violations = Vec::new();
    for seed in seeds {
        let violations = soak(seed, vm_count, fault_duration).await;
        all_violations.extend(
            violations
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(
        all_violations.is_empty(),
        "guarantees were violated: {all_violations:#?}"
    );
}
