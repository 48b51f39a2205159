//! Runs a scenario: sends its requests, triggers its events and builds the report.

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

/// Maximum number of requests in flight. Further arrivals are skipped and counted, so that a
/// fleet that hangs does not make the load generator use up the machine's memory.
const MAX_IN_FLIGHT: usize = 20_000;

/// Interval between progress lines on a terminal. Without a terminal only every tenth line is
/// printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Wait between the last answer and reading the ledgers, so that cancelled runs have ended there.
const LEDGER_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Sends the requests of a scenario, triggers its events and returns the report. Also writes the
/// report and the plot to the files named in the options.
///
/// # Errors
///
/// Fails when the scenario or a file of the fleet cannot be read or is invalid, or when the
/// report or the plot cannot be written.
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
        "the manifest does not have these pipelines of the scenario, by organisation: {missing:?}"
    );
    ensure!(
        !fleet.caller_addresses.is_empty(),
        "fleet.json in {} lists no daemons",
        options.fleet_dir.display()
    );
    let arrivals = schedule(&scenario, scenario.seed, &fleet.allowances);
    let before = ledgers::read_ledgers(&fleet).await;
    let results = send_all(&scenario, &fleet, arrivals).await;
    tokio::time::sleep(LEDGER_SETTLE_TIME).await;
    let after = ledgers::read_ledgers(&fleet).await;
    let attained = results.records.iter().filter(|record| record.is_attained());
    let attained: HashSet<&str> = attained
        .filter_map(|one| one.request_id.as_deref())
        .collect();
    let ledger_report = ledgers::compare_ledgers(&fleet, &before, &after, &attained);
    let mut report = make_report(&scenario, &results.records, results.events, ledger_report);
    report.skipped_arrivals = results.skipped_arrivals;
    write_files(&options, &report)?;
    Ok(report)
}

/// Results of all requests and events.
struct RunResults {
    records: Vec<RequestRecord>,
    events: Vec<EventReport>,
    skipped_arrivals: usize,
}

/// Counts and records of the requests so far.
#[derive(Default)]
struct Progress {
    in_flight: AtomicUsize,
    attained: AtomicUsize,
    ended: AtomicUsize,
    records: Mutex<Vec<RequestRecord>>,
}

/// Sends each request at its scheduled time, triggers the events meanwhile, and waits for all.
async fn send_all(scenario: &Scenario, fleet: &Arc<Fleet>, arrivals: Vec<Arrival>) -> RunResults {
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
    let mut skipped_arrivals = 0;
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let scheduled_at = start + arrival.at;
        tokio::time::sleep_until(scheduled_at).await;
        while tasks.try_join_next().is_some() {}
        if progress.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            skipped_arrivals += 1;
            continue;
        }
        let (callers, progress) = (callers.clone(), progress.clone());
        progress.in_flight.fetch_add(1, Ordering::Relaxed);
        tasks.spawn(async move {
            let record = callers.send(&arrival, number, scheduled_at).await;
            progress.add_ended(record);
        });
    }
    while tasks.join_next().await.is_some() {}
    let events = events.await;
    reporter.abort();
    let mut records = std::mem::take(&mut *progress.records.lock());
    records.sort_by_key(|record| record.at);
    RunResults {
        records,
        events: events.unwrap_or_default(),
        skipped_arrivals,
    }
}

impl Progress {
    /// Counts a request that has ended and keeps its record.
    fn add_ended(&self, record: RequestRecord) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.ended.fetch_add(1, Ordering::Relaxed);
        self.attained
            .fetch_add(usize::from(record.is_attained()), Ordering::Relaxed);
        self.records.lock().push(record);
    }
}

/// Prints a progress line to standard error at intervals, until it is aborted.
async fn print_progress(progress: Arc<Progress>, total: usize, start: Instant) {
    let is_terminal = std::io::stderr().is_terminal();
    for tick in 1_u64.. {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        if !is_terminal && !tick.is_multiple_of(10) {
            continue;
        }
        let (line_start, line_end) = if is_terminal { ("\r", "") } else { ("", "\n") };
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        eprint!(
            "{line_start}load: {:.0} s, {} of {total} ended, {} attained, {} in flight {line_end}",
            start.elapsed().as_secs_f64(),
            count(&progress.ended),
            count(&progress.attained),
            count(&progress.in_flight),
        );
        // The run goes on when a progress line cannot be written.
        let _ = std::io::stderr().flush();
    }
}

/// Writes the report and the plot to the files named in the options.
fn write_files(options: &LoadOptions, report: &Report) -> anyhow::Result<()> {
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(report)?;
        std::fs::write(path, text)
            .with_context(|| format!("cannot write the report {}", path.display()))?;
    }
    if let Some(path) = &options.plot {
        plot::draw(path, report)
            .with_context(|| format!("cannot write the plot {}", path.display()))?;
    }
    Ok(())
}
