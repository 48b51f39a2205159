//! Runs without unplanned faults: planned work and silence of endpoints only. Nothing then excuses a
//! lost request, so each one that a VM has read must end with its complete answer or a refusal.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::{DEADLINE, Exchange, HABITS, Outcome, send_requests};
use crate::crashing::add_engines;
use crate::liveness::{VmStates, check_liveness};
use crate::observations::Observations;
use crate::steps::{Step, apply, draw_planned, draw_silence};
use crate::unanswered::{check_causes, count_by_cause};
use crate::users_platform::backend::{Backend, Received};
use crate::users_platform::{DATA_CENTRES, Fleet};

const CALLERS: usize = 2 * HABITS.len();
/// Upper bounds of the time between two draws.
const MAX_PLANNED_GAP_MS: u64 = 2_000;
const MAX_SILENCE_GAP_MS: u64 = 3_500;
/// Pauses after each event of a stream, by the parity of the seed. With the short one, streams last long enough to
/// be silenced within; with the long one, those that begin during a planned stop may last longer than it.
const EVENT_PAUSES: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(120)];
/// Time of a call to the first stage in runs with an even seed: bursts then wait in its queue for longer than some
/// callers do.
const SLOW_STAGE_TIME: Duration = Duration::from_millis(400);
/// `LossSlackMs` of the platform's rules: a connection that closes so soon after a request was sent may
/// have been closed before the request was there.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// `DrainMs` of the platform's rules.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from SIGTERM until requests in progress may be cut: five sixths of the time to stop, which is 8 s.
const CUT_TIME: Duration = Duration::from_millis(6_667);
/// Time in which all planned stops end.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// `BudgetWindowS`, `RetryBudgetRatio` and `BudgetSlack` of the platform's rules.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 52.0;

/// What the steps of a run did, for its checks.
#[derive(Default)]
struct PlannedWork {
    /// VM, time of SIGTERM, and time at which its process had exited.
    stops: Vec<(usize, Instant, Option<Instant>)>,
    /// Endpoint, and the times at which it was listed as draining and as ready again.
    drains: Vec<(usize, Instant, Option<Instant>)>,
    /// Times at which an endpoint fell silent, and for how long.
    silences: Vec<(Instant, Duration)>,
}

impl PlannedWork {
    fn note(&mut self, step: Step) {
        let now = Instant::now();
        match step {
            Step::Stop(vm) if !self.is_stopping(vm) => self.stops.push((vm, now, None)),
            Step::Silence(_, duration) => self.silences.push((now, duration)),
            Step::Drain(endpoint) => self.drains.push((endpoint, now, None)),
            Step::List(listed) => {
                let open = self.drains.iter_mut();
                open.filter(|(endpoint, _, end)| *endpoint == listed && end.is_none())
                    .for_each(|(.., end)| *end = Some(now));
            }
            _ => {}
        }
    }

    fn is_stopping(&self, vm: usize) -> bool {
        let mut stops = self.stops.iter();
        stops.any(|(other, _, end)| *other == vm && end.is_none())
    }

    /// Returns the last SIGTERM of a VM before a time, unless the VM had exited long before it.
    fn stop_before(&self, vm: usize, at: Instant) -> Option<Instant> {
        let stops = self.stops.iter().rev();
        let mut stops = stops.filter(|(other, began, _)| *other == vm && *began <= at);
        let (_, began, end) = stops.next()?;
        let is_over = end.is_some_and(|end| at > end + LOSS_SLACK);
        (!is_over).then_some(*began)
    }
}

/// Returns how a request was lost, or `None` if it was not.
fn loss(exchange: &Exchange, was_read: bool, work: &PlannedWork) -> Option<String> {
    let took = exchange.ended_at - exchange.sent_at;
    let stop = work.stop_before(exchange.vm, exchange.ended_at);
    let is_cut_by_stop = stop.is_some_and(|began| exchange.ended_at >= began + CUT_TIME);
    match &exchange.outcome {
        // The lines of the VMs say whether it was right to let the caller wait.
        Outcome::NotSent | Outcome::Left => None,
        Outcome::GaveUp => Some("neither an answer nor a refusal by its deadline".to_owned()),
        Outcome::Answered(answer) if !answer.is_complete => {
            let is_excused = took >= DEADLINE || is_cut_by_stop;
            (!is_excused).then(|| format!("cut: {:?}", answer.body))
        }
        Outcome::Answered(answer) => {
            let is_right = match answer.status {
                200 => true,
                503 => answer.retry_after_s.is_some(),
                // The shortest timeout of a route.
                504 => took >= Duration::from_millis(2_850),
                _ => false,
            };
            (!is_right).then(|| format!("{} {:?}", answer.status, answer.body))
        }
        Outcome::Unanswered(reason) => {
            let whole_at = exchange.whole_at?;
            let is_lost = was_read
                || exchange.ended_at > whole_at + LOSS_SLACK
                || (exchange.is_first_on_connection && stop.is_none());
            let is_excused = is_cut_by_stop && was_read;
            (is_lost && !is_excused).then(|| format!("no answer: {reason}"))
        }
    }
}

fn check_losses(
    fleet: &Fleet,
    exchanges: &[Exchange],
    work: &PlannedWork,
    observations: &Observations,
) {
    let received = fleet.backends.iter().flat_map(Backend::received);
    let received: HashSet<String> = received.map(|request| request.id).collect();
    let logs: Vec<String> = fleet.vms.iter().map(|vm| vm.log()).collect();
    for exchange in exchanges {
        let was_read = received.contains(&exchange.id) || logs[exchange.vm].contains(&exchange.id);
        if let Some(loss) = loss(exchange, was_read, work) {
            let took = exchange.ended_at - exchange.sent_at;
            let since_stop = work.stop_before(exchange.vm, exchange.ended_at);
            let since_stop = since_stop.map(|began| exchange.ended_at - began);
            observations.record_violation(format!(
                "{} {} at vm-{} lost after {took:?} ({since_stop:?} after SIGTERM): {loss}",
                exchange.id, exchange.path, exchange.vm
            ));
        }
    }
    for (vm, log) in logs.iter().enumerate() {
        if log.contains("crashes: an engine ended under a request") {
            observations.record_violation(format!("vm-{vm} took silence for a crash"));
        }
    }
}

/// Checks that no endpoint got requests once it had to be known as draining.
fn check_drains(fleet: &Fleet, work: &PlannedWork, observations: &Observations) {
    for (endpoint, from, until) in &work.drains {
        let is_late = |request: &&Received| {
            request.connected_at > *from + DRAIN_TIME
                && until.is_none_or(|until| request.connected_at < until)
        };
        let received = fleet.backends[*endpoint].received();
        let late = received.iter().filter(is_late).count();
        if late > 0 {
            observations.record_violation(format!(
                "{late} requests reached endpoint {endpoint} over {DRAIN_TIME:?} after it was draining"
            ));
        }
    }
}

/// Checks the bound on arrivals beyond the first of each request, in windows that end at each of them.
fn check_budget(fleet: &Fleet, exchanges: &[Exchange], observations: &Observations) {
    for (service, paths) in [
        ("plain", ["/look/x", "/pay/x"]),
        ("lm", ["/stream/x", "/once-stream/x"]),
    ] {
        let mut first_arrivals = HashSet::new();
        let received = fleet.backends_of(service).flat_map(Backend::received);
        let mut received: Vec<Received> = received.collect();
        received.sort_by_key(|request| request.at);
        let is_repeat = |request: &&Received| !first_arrivals.insert(request.id.clone());
        let repeats: Vec<Instant> = received
            .iter()
            .filter(is_repeat)
            .map(|request| request.at)
            .collect();
        let sent = exchanges
            .iter()
            .filter(|exchange| paths.contains(&exchange.path));
        let sent: Vec<Instant> = sent.map(|exchange| exchange.sent_at).collect();
        let count = |times: &[Instant], end: Option<Instant>| {
            let is_inside =
                |at: &&Instant| end.is_some_and(|end| **at <= end && **at + BUDGET_WINDOW > end);
            times.iter().filter(is_inside).count()
        };
        for end in &repeats {
            let windows = [0.0, 0.5, 1.0].map(|part| {
                let end = end.checked_sub(BUDGET_WINDOW.mul_f64(part));
                count(&sent, end)
            });
            let requests = windows.into_iter().max().unwrap_or_default();
            let repeated = count(&repeats, Some(*end));
            if repeated as f64 > BUDGET_RATIO * requests as f64 + BUDGET_SLACK {
                observations.record_violation(format!(
                    "{service}: {repeated} repeats within 10 s, for {requests} requests"
                ));
                break;
            }
        }
    }
}

/// Starts the VMs whose planned stop has ended.
fn start_stopped_vms(
    fleet: &mut Fleet,
    states: &VmStates,
    work: &mut PlannedWork,
    observations: &Observations,
) {
    for (vm, _, end) in work.stops.iter_mut().filter(|(.., end)| end.is_none()) {
        let Some(status) = fleet.vms[*vm].exited() else {
            continue;
        };
        if !status.success() {
            observations.record_violation(format!("vm-{vm} ended its planned stop with {status}"));
        }
        *end = Some(Instant::now());
        fleet.vms[*vm].start();
        states.note(Step::Restart(*vm));
    }
}

/// Runs the planned work of one seed and returns the violations found.
pub async fn soak_planned(seed: u64, vm_count: usize, duration: Duration) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut silence_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut fleet = crate::start_fleet(vm_count).await;
    add_engines(&mut fleet).await;
    for engine in fleet.backends_of("lm") {
        engine.set_work_time(EVENT_PAUSES[(seed % 2) as usize]);
    }
    if seed.is_multiple_of(2) {
        for stage in fleet.backends_of("first") {
            stage.set_work_time(SLOW_STAGE_TIME);
        }
    }
    let services: Vec<String> = fleet
        .backends
        .iter()
        .map(|backend| backend.service.clone())
        .collect();
    let address_of = |port: u16| -> Vec<SocketAddr> {
        fleet.vms.iter().map(|vm| (vm.ip, port).into()).collect()
    };
    let (vms, health, directories) = (address_of(8625), address_of(8621), address_of(8620));
    let observations = Arc::new(Observations::default());
    let states = Arc::new(VmStates::all_running(vm_count));
    let directory = Arc::new(Mutex::new(vms.clone()));
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(crate::follow_directory(
        directories,
        Arc::clone(&directory),
        Arc::clone(&stop),
    ));
    tasks.spawn(check_liveness(
        health,
        Arc::clone(&states),
        Arc::clone(&observations),
        Arc::clone(&stop),
    ));
    for number in 0..CALLERS {
        tasks.spawn(send_requests(
            number,
            seed,
            vms.clone(),
            Arc::clone(&directory),
            Arc::clone(&exchanges),
            Arc::clone(&stop),
        ));
    }
    let mut work = PlannedWork::default();
    let started = Instant::now();
    let (mut next_planned, mut next_silence) = (started, started);
    let mut scheduled: Vec<(Instant, Step)> = Vec::new();
    let mut steps = Vec::new();
    while started.elapsed() < duration {
        let now = Instant::now();
        let mut schedule = |series: Vec<(Step, Duration)>| {
            let mut at = now;
            for (step, pause) in series {
                scheduled.push((at, step));
                at += pause;
            }
        };
        if now >= next_planned {
            schedule(draw_planned(&mut rng, vm_count));
            next_planned = now + Duration::from_millis(rng.random_range(0..MAX_PLANNED_GAP_MS));
        }
        if now >= next_silence {
            schedule(draw_silence(&mut silence_rng, &services));
            let gap_ms = silence_rng.random_range(0..MAX_SILENCE_GAP_MS);
            next_silence = now + Duration::from_millis(gap_ms);
        }
        scheduled.sort_by_key(|(at, _)| *at);
        let due = scheduled.partition_point(|(at, _)| *at <= now);
        for (_, step) in scheduled.drain(..due) {
            let elapsed_s = started.elapsed().as_secs_f64();
            steps.push(format!("{step:?} at {elapsed_s:.1} s"));
            work.note(step);
            apply(&mut fleet, &states, step).await;
        }
        start_stopped_vms(&mut fleet, &states, &mut work, &observations);
        sleep(Duration::from_millis(10)).await;
    }
    let ended = Instant::now();
    let all_steps = (0..fleet.backends.len())
        .map(Step::List)
        .chain((0..DATA_CENTRES.len()).map(Step::TakeBack));
    for step in all_steps {
        work.note(step);
        apply(&mut fleet, &states, step).await;
    }
    while work.stops.iter().any(|(.., end)| end.is_none()) && ended.elapsed() < STOP_TIMEOUT {
        start_stopped_vms(&mut fleet, &states, &mut work, &observations);
        sleep(Duration::from_millis(10)).await;
    }
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    let exchanges = exchanges.lock().clone();
    for exchange in &exchanges {
        let answer = match &exchange.outcome {
            Outcome::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        observations.check(&exchange.id, exchange.path, answer);
    }
    observations.check_runs(&fleet);
    check_losses(&fleet, &exchanges, &work, &observations);
    check_drains(&fleet, &work, &observations);
    check_budget(&fleet, &exchanges, &observations);
    check_causes(&fleet, &exchanges, &work.silences, &observations);
    let mut outcomes: HashMap<String, usize> = HashMap::new();
    for exchange in &exchanges {
        let outcome = match &exchange.outcome {
            Outcome::Answered(answer) => answer.status.to_string(),
            Outcome::NotSent => "not sent".to_owned(),
            Outcome::Unanswered(_) => "unanswered".to_owned(),
            Outcome::GaveUp => "given up".to_owned(),
            Outcome::Left => "left".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    let causes = count_by_cause(&fleet);
    println!(
        "planned seed {seed}: {outcomes:?}, without an answer {causes:?}, {} steps",
        steps.len()
    );
    let violations = observations.violations.lock().clone();
    if !violations.is_empty() {
        println!("planned seed {seed}: violations: {violations:#?}\nsteps: {steps:#?}");
        crate::keep_logs(&fleet, &format!("planned-{seed}"));
    }
    violations
}
