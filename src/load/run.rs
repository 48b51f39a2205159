//! One run of the load generator.

use std::collections::HashSet;
use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, ensure};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::arrivals::{Arrival, schedule};
use super::caller::{Callers, missing_pipelines};
use super::events::{EventReport, run_events};
use super::fleet::Fleet;
use super::record::RequestRecord;
use super::report::{Report, make_report};
use super::scenario::Scenario;
use super::{LoadOptions, ledgers, plot};

/// Requests in flight beyond which arrivals are left out and counted, so that a fleet
/// that hangs does not take the machine's memory.
const MAX_IN_FLIGHT: usize = 20_000;

/// Time between two progress lines on a terminal; elsewhere each tenth is printed.
const PROGRESS: Duration = Duration::from_secs(1);

/// Wait after the last answer, so that cancelled runs have ended in the ledgers.
const SETTLE: Duration = Duration::from_millis(500);

/// Sends the scenario's requests, carries out its events and returns the report. Writes the
/// report and the plot to the files that the options name.
///
/// # Errors
///
/// Fails when the scenario or the fleet's directory cannot be used, or a file not written.
pub async fn run(options: LoadOptions) -> anyhow::Result<Report> {
    let mut scenario = Scenario::read(&options.scenario)?;
    scenario.duration_s = options.duration_s.unwrap_or(scenario.duration_s);
    scenario.max_requests = options.max_requests.unwrap_or(scenario.max_requests);
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    scenario
        .events
        .retain(|event| event.at_s <= scenario.duration_s);
    let scenario = scenario.check()?;
    let fleet = Arc::new(Fleet::read(&options.fleet_dir)?);
    let missing = missing_pipelines(&scenario, &fleet);
    ensure!(
        missing.is_empty(),
        "the manifest lacks pipelines: {missing:?}"
    );
    ensure!(!fleet.caller_addresses.is_empty(), "the fleet has no VM");
    let arrivals = schedule(&scenario, scenario.seed, &fleet.allowances);
    let before = ledgers::read_ledgers(&fleet).await;
    let sent = send_all(&scenario, &fleet, arrivals).await;
    tokio::time::sleep(SETTLE).await;
    let after = ledgers::read_ledgers(&fleet).await;
    let attained = sent.records.iter().filter(|record| record.is_attained());
    let attained: HashSet<&str> = attained
        .filter_map(|one| one.request_id.as_deref())
        .collect();
    let ledger_report = ledgers::compare_ledgers(&fleet, &before, &after, &attained);
    let mut report = make_report(&scenario, &sent.records, sent.events, ledger_report);
    report.left_out = sent.left_out;
    write_files(&options, &report)?;
    Ok(report)
}

struct Sent {
    records: Vec<RequestRecord>,
    events: Vec<EventReport>,
    left_out: usize,
}

#[derive(Default)]
struct Progress {
    in_flight: AtomicUsize,
    attained: AtomicUsize,
    ended: AtomicUsize,
    records: Mutex<Vec<RequestRecord>>,
}

async fn send_all(scenario: &Scenario, fleet: &Arc<Fleet>, arrivals: Vec<Arrival>) -> Sent {
    let callers = Arc::new(Callers::new(scenario, fleet.clone()));
    let progress = Arc::new(Progress::default());
    let start = Instant::now();
    let events = run_events(
        scenario.events.clone(),
        fleet.clone(),
        callers.clone(),
        start,
    );
    let events = tokio::spawn(events);
    let reporter = tokio::spawn(print_progress(progress.clone(), arrivals.len(), start));
    let mut tasks = JoinSet::new();
    let mut left_out = 0;
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let planned = start + arrival.at;
        tokio::time::sleep_until(planned).await;
        while tasks.try_join_next().is_some() {}
        if progress.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            left_out += 1;
            continue;
        }
        let (callers, progress) = (callers.clone(), progress.clone());
        progress.in_flight.fetch_add(1, Ordering::Relaxed);
        tasks.spawn(async move {
            let record = callers.send(&arrival, number, planned).await;
            progress.end(record);
        });
    }
    while tasks.join_next().await.is_some() {}
    let events = events.await;
    reporter.abort();
    let mut records = std::mem::take(&mut *progress.records.lock());
    records.sort_by_key(|record| record.at);
    Sent {
        records,
        events: events.unwrap_or_default(),
        left_out,
    }
}

impl Progress {
    fn end(&self, record: RequestRecord) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.ended.fetch_add(1, Ordering::Relaxed);
        self.attained
            .fetch_add(usize::from(record.is_attained()), Ordering::Relaxed);
        self.records.lock().push(record);
    }
}

async fn print_progress(progress: Arc<Progress>, total: usize, start: Instant) {
    let is_terminal = std::io::stderr().is_terminal();
    for turn in 1_u64.. {
        tokio::time::sleep(PROGRESS).await;
        if !is_terminal && !turn.is_multiple_of(10) {
            continue;
        }
        let (begin, end) = if is_terminal { ("\r", "") } else { ("", "\n") };
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        eprint!(
            "{begin}load: {:.0} s, {} of {total} ended, {} whole in time, {} in flight {end}",
            start.elapsed().as_secs_f64(),
            count(&progress.ended),
            count(&progress.attained),
            count(&progress.in_flight),
        );
        // A progress line that cannot be written is no reason to stop.
        let _ = std::io::stderr().flush();
    }
}

fn write_files(options: &LoadOptions, report: &Report) -> anyhow::Result<()> {
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(report)?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(path) = &options.plot {
        plot::draw(path, report).with_context(|| format!("cannot draw {}", path.display()))?;
    }
    Ok(())
}
