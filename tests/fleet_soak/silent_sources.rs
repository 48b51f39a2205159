//! Runs in which configurations follow each other while VMs stand still, die, start, stop or lose the store: most of
//! them at a time, or one after the other, in series that overlap. Each VM that is in contact with the store has to have
//! each version in force in time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::liveness::VmStates;
use crate::schedule;
use crate::steps::{Step, apply};
use crate::users_platform::Fleet;
use crate::users_platform::ranks::ranks;
use crate::users_platform::store::Mode;
use crate::users_platform::versions::{Versions, observe};

/// Smallest number of VMs: relays, those that would take their place, and others.
const MIN_VMS: usize = 20;
/// Number of VMs that no fault hits, so that the rules bind them all the while.
const CALM_VMS: usize = 3;
/// `ContactMs` and the shortest `ConfigApplyMs` of the platform's rules.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the time between two series of faults.
const MAX_SERIES_GAP_MS: u64 = 2_500;

/// Since when the store has been there for each VM.
struct StoreContact(Mutex<Vec<Option<Instant>>>);

impl StoreContact {
    fn note(&self, step: Step) {
        let mut since = self.0.lock();
        let state = |mode| (mode == Mode::Up).then(Instant::now);
        match step {
            Step::Store(mode) => since.fill(state(mode)),
            Step::StoreFor(vm, mode) => since[vm] = state(mode),
            _ => {}
        }
    }

    /// Returns whether the platform's rules bind a VM: it has run, and the store has been there for it, for a while.
    fn is_bound(&self, vm: usize, states: &VmStates) -> bool {
        let is_long = |since: Option<Instant>| since.is_some_and(|at| at.elapsed() >= CONTACT_TIME);
        is_long(states.running_since(vm)) && is_long(self.0.lock()[vm])
    }
}

/// The VMs that faults may hit.
struct Hit {
    vms: Vec<usize>,
    /// Relays, and those that would take their place.
    sources: Vec<usize>,
}

/// Draws some of the VMs, in random order.
fn draw_vms(rng: &mut ChaCha8Rng, vms: &[usize], share: std::ops::Range<f64>) -> Vec<usize> {
    let mut vms = vms.to_vec();
    vms.shuffle(rng);
    let count = (vms.len() as f64 * rng.random_range(share)) as usize;
    vms.truncate(count.max(1));
    vms
}

/// Draws a series of steps, with the pause after each.
fn draw_silence(rng: &mut ChaCha8Rng, hit: &Hit) -> Vec<(Step, Duration)> {
    let millis = |rng: &mut ChaCha8Rng, range| Duration::from_millis(rng.random_range(range));
    let at_once = |vms: &[usize], step: fn(usize) -> Step, pause: Duration| {
        let mut steps: Vec<_> = vms.iter().map(|vm| (step(*vm), Duration::ZERO)).collect();
        if let Some((_, last)) = steps.last_mut() {
            *last = pause;
        }
        steps
    };
    let in_turn = |vms: &[usize],
                   first: fn(usize) -> Step,
                   then: fn(usize) -> Step,
                   pauses: [Duration; 2]| {
        let steps = vms
            .iter()
            .flat_map(|vm| [(first(*vm), pauses[0]), (then(*vm), pauses[1])]);
        steps.collect::<Vec<_>>()
    };
    match rng.random_range(0..10) {
        // All that the others may ask.
        9 => {
            let time = millis(rng, 1_000..4_000);
            [
                at_once(&hit.sources, Step::Pause, time),
                at_once(&hit.sources, Step::Wake, Duration::ZERO),
            ]
            .concat()
        }
        // Most VMs stand still at a time.
        0..3 => {
            let vms = draw_vms(rng, &hit.vms, 0.5..0.95);
            let time = millis(rng, 1_000..4_000);
            [
                at_once(&vms, Step::Pause, time),
                at_once(&vms, Step::Wake, Duration::ZERO),
            ]
            .concat()
        }
        // One after the other, each of them until the next ones do.
        3 => {
            let vms = draw_vms(rng, &hit.vms, 0.3..1.0);
            let pause = millis(rng, 100..700);
            let pauses = vms.windows(4).flat_map(|vms| {
                [
                    (Step::Pause(vms[3]), Duration::ZERO),
                    (Step::Wake(vms[0]), pause),
                ]
            });
            let last = at_once(&vms, Step::Wake, Duration::ZERO);
            pauses.chain(last).collect()
        }
        // Shorter than it takes others to notice it.
        4 => {
            let vms = draw_vms(rng, &hit.vms, 0.1..0.6);
            let pauses = [millis(rng, 200..900), millis(rng, 0..200)];
            in_turn(&vms[..vms.len().min(6)], Step::Pause, Step::Wake, pauses)
        }
        5 => {
            let vms = draw_vms(rng, &hit.vms, 0.1..0.6);
            let time = millis(rng, 200..2_500);
            [
                at_once(&vms, Step::Kill, time),
                at_once(&vms, Step::Restart, Duration::ZERO),
            ]
            .concat()
        }
        6 => {
            let vms = draw_vms(rng, &hit.vms, 0.1..0.3);
            let pauses = [millis(rng, 100..1_500), millis(rng, 0..300)];
            in_turn(&vms, Step::Stop, Step::Restart, pauses)
        }
        7 => {
            let vms = draw_vms(rng, &hit.vms, 0.2..0.8);
            let time = millis(rng, 500..3_500);
            let lose: fn(usize) -> Step = match rng.random_bool(0.5) {
                true => |vm| Step::StoreFor(vm, Mode::Busy),
                false => |vm| Step::StoreFor(vm, Mode::Silent),
            };
            let find = |vm| Step::StoreFor(vm, Mode::Up);
            [
                at_once(&vms, lose, time),
                at_once(&vms, find, Duration::ZERO),
            ]
            .concat()
        }
        _ => {
            let mode = [Mode::Busy, Mode::Silent][rng.random_range(0..2)];
            vec![
                (Step::Store(mode), millis(rng, 100..1_500)),
                (Step::Store(Mode::Up), Duration::ZERO),
            ]
        }
    }
}

/// Runs one seed and returns the violations found.
pub async fn soak_silent_sources(seed: u64, vm_count: usize, duration: Duration) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let vm_count = vm_count.max(MIN_VMS);
    let mut fleet = Fleet::start(vm_count).await;
    let [relays, next, mut others] = ranks(&fleet);
    others.shuffle(&mut rng);
    let sources = [relays, next].concat();
    let hit = Hit {
        vms: [sources.clone(), others.split_off(CALM_VMS)].concat(),
        sources,
    };
    let states = Arc::new(VmStates::all_running(vm_count));
    let store = Arc::new(StoreContact(Mutex::new(vec![
        Some(Instant::now());
        vm_count
    ])));
    let versions = Versions::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut observers = tokio::task::JoinSet::new();
    for (vm, process) in fleet.vms.iter().enumerate() {
        let (states, store) = (Arc::clone(&states), Arc::clone(&store));
        let is_bound = move || store.is_bound(vm, &states);
        let (address, stop) = (process.caller_address(), Arc::clone(&stop));
        observers.spawn(observe(
            address,
            versions.clone(),
            APPLY_TIME,
            is_bound,
            stop,
        ));
    }
    let started = Instant::now();
    let (mut next_series, mut next_version) = (started, started);
    let mut scheduled: Vec<(Instant, Step)> = Vec::new();
    let mut steps = Vec::new();
    while started.elapsed() < duration || !scheduled.is_empty() {
        let now = Instant::now();
        if now >= next_series && started.elapsed() < duration {
            schedule(&mut scheduled, now, draw_silence(&mut rng, &hit));
            next_series = now + Duration::from_millis(rng.random_range(0..MAX_SERIES_GAP_MS));
        }
        scheduled.sort_by_key(|(at, _)| *at);
        let due = scheduled.partition_point(|(at, _)| *at <= now);
        for (_, step) in scheduled.drain(..due) {
            let elapsed_s = started.elapsed().as_secs_f64();
            steps.push(format!("{step:?} at {elapsed_s:.1} s"));
            store.note(step);
            apply(&mut fleet, &states, step).await;
        }
        if now >= next_version {
            versions.publish(&mut fleet);
            next_version = now + Duration::from_millis(rng.random_range(100..600));
        }
        sleep(Duration::from_millis(10)).await;
    }
    for vm in 0..vm_count {
        if states.running_since(vm).is_none() {
            apply(&mut fleet, &states, Step::Restart(vm)).await;
        }
    }
    sleep(CONTACT_TIME).await;
    versions.publish(&mut fleet);
    sleep(APPLY_TIME + Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let (mut longest, mut violations) = (Duration::ZERO, Vec::new());
    while let Some(observed) = observers.join_next().await {
        let observed = observed.unwrap();
        longest = longest.max(observed.longest);
        violations.extend(observed.late);
    }
    let calls = fleet.store.call_count();
    let took_s = started.elapsed().as_secs_f64();
    println!(
        "silent sources seed {seed}: {vm_count} VMs, {} faults, in force after {longest:.2?} at most, {calls} calls in {took_s:.0} s",
        steps.len()
    );
    if !violations.is_empty() {
        println!("silent sources seed {seed}: violations: {violations:#?}\nfaults: {steps:#?}");
        crate::keep_logs(&fleet, &format!("silent-sources-{seed}"));
    }
    violations
}
