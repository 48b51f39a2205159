//! Report of a run: attainment and latency by organisation, times by stage, and refusals by code.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::events::EventReport;
use super::ledgers::LedgerReport;
use super::record::{Outcome, RequestRecord};
use super::scenario::Scenario;

/// Longest time that a histogram can count, in microseconds; longer times count as this long.
const HISTOGRAM_MAX_MICROS: u64 = 600_000_000;

/// Results of one run of the load generator.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrival times and the choice of pipelines.
    pub seed: u64,
    /// Duration of the run in seconds.
    pub duration_s: f64,
    /// Number of arrivals skipped because too many requests were in flight.
    #[serde(rename = "left_out")]
    pub skipped_arrivals: usize,
    /// Number of answers that named another request.
    pub misdelivered: usize,
    /// Service level of all requests.
    pub overall: ServiceLevel,
    /// Service level of each organisation.
    pub organisations: BTreeMap<String, ServiceLevel>,
    /// Organisation with the lowest attainment of requests inside its rate.
    pub worst_organisation: Option<String>,
    /// Times and attempts of each stage, from complete answers.
    pub stages: BTreeMap<String, StageReport>,
    /// Time from the scheduled arrival to the first token, of complete streams.
    pub first_token: Percentiles,
    /// Time between consecutive tokens, of complete streams.
    pub between_tokens: Percentiles,
    /// Requests that were not attained: refused ones by code, unanswered ones by reason, and late
    /// or misdelivered ones as `late`.
    pub refusals: BTreeMap<String, RefusalCounts>,
    /// Figures from the ledgers of the endpoints.
    pub ledgers: LedgerReport,
    /// Events and their results.
    pub events: Vec<EventReport>,
    /// Attainment of requests inside the rate, by the second of their scheduled arrival.
    pub timeline: Vec<TimelineSecond>,
}

/// Attainment and latency of a set of requests. A request is attained when its complete answer
/// arrived within its deadline.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServiceLevel {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests attained.
    pub attained: usize,
    /// Number of requests sent while the organisation was inside its rate.
    pub sent_inside: usize,
    /// Number of requests attained of those sent inside the rate.
    pub attained_inside: usize,
    /// Time from the scheduled arrival to the complete answer, of requests that got one.
    pub latency: Percentiles,
}

/// Percentiles of a set of times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of times in the set.
    pub count: u64,
    /// 50th percentile (median) in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
}

/// Times and attempts of one stage.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct StageReport {
    /// Time of the stage as reported by the fleet, all attempts of a request together.
    pub time: Percentiles,
    /// Number of attempts of all requests.
    pub attempts: u64,
    /// Number of requests that took more than one attempt.
    pub repeated: u64,
}

/// Number of requests not attained for one code or reason.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RefusalCounts {
    /// Requests sent while the organisation was inside its rate.
    pub inside_rate: usize,
    /// Requests sent while the organisation was outside its rate.
    pub outside_rate: usize,
    /// Refusals stating that no stage ran, inside and outside the rate.
    pub not_run: usize,
}

/// Requests inside the rate whose scheduled arrival was in one second of the run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TimelineSecond {
    /// Number of requests sent.
    pub sent_inside: usize,
    /// Number of requests attained.
    pub attained_inside: usize,
    /// Number of requests sent and of requests attained, by organisation.
    pub organisations: BTreeMap<String, (usize, usize)>,
}

impl ServiceLevel {
    /// Share of requests attained, or 1 if none were sent.
    pub fn attainment(&self) -> f64 {
        share(self.attained, self.sent)
    }

    /// Share of requests inside the rate that were attained, or 1 if none were sent.
    pub fn attainment_inside(&self) -> f64 {
        share(self.attained_inside, self.sent_inside)
    }

    /// Counts one request.
    fn add(&mut self, record: &RequestRecord) {
        let (attained, inside) = (record.is_attained(), record.inside_rate);
        self.sent += 1;
        self.attained += usize::from(attained);
        self.sent_inside += usize::from(inside);
        self.attained_inside += usize::from(attained && inside);
    }
}

/// Returns `part` as a share of `whole`, or 1 if `whole` is 0.
pub fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

impl Percentiles {
    /// Computes the percentiles with a precision of three significant digits.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        // This cannot fail, because the histogram accepts these constant arguments.
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(HISTOGRAM_MAX_MICROS, 3) else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let at_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50_ms: at_ms(0.50),
            p95_ms: at_ms(0.95),
            p99_ms: at_ms(0.99),
        }
    }
}

/// Builds the report of a run from its records.
pub fn make_report(
    scenario: &Scenario,
    records: &[RequestRecord],
    events: Vec<EventReport>,
    ledgers: LedgerReport,
) -> Report {
    let name_of =
        |record: &RequestRecord| scenario.organisations[record.organisation].name.to_string();
    let mut organisations: BTreeMap<String, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records {
        organisations
            .entry(name_of(record))
            .or_default()
            .push(record);
    }
    let organisations: BTreeMap<_, _> = organisations
        .into_iter()
        .map(|(name, records)| (name, service_level_of(&records)))
        .collect();
    let worst = organisations.iter().min_by(|one, other| {
        one.1
            .attainment_inside()
            .total_cmp(&other.1.attainment_inside())
    });
    let complete = || {
        records
            .iter()
            .filter(|record| record.outcome == Outcome::Complete)
    };
    Report {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        duration_s: scenario.duration_s,
        skipped_arrivals: 0,
        misdelivered: records
            .iter()
            .filter(|record| record.is_misdelivered)
            .count(),
        overall: service_level_of(&records.iter().collect::<Vec<_>>()),
        worst_organisation: worst.map(|(name, _)| name.clone()),
        organisations,
        stages: stages_of(records),
        first_token: Percentiles::of(complete().filter_map(|record| record.first_token)),
        between_tokens: Percentiles::of(
            complete().flat_map(|record| record.token_gaps.iter().copied()),
        ),
        refusals: refusal_counts_of(records),
        ledgers,
        events,
        timeline: timeline_of(scenario, records),
    }
}

fn service_level_of(records: &[&RequestRecord]) -> ServiceLevel {
    let mut level = ServiceLevel::default();
    for record in records {
        level.add(record);
    }
    let complete = records
        .iter()
        .filter(|record| record.outcome == Outcome::Complete);
    level.latency = Percentiles::of(complete.map(|record| record.elapsed));
    level
}

/// Computes times and attempts of each stage.
fn stages_of(records: &[RequestRecord]) -> BTreeMap<String, StageReport> {
    let mut times: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut stages: BTreeMap<String, StageReport> = BTreeMap::new();
    for stage in records.iter().flat_map(|record| &record.stages) {
        let elapsed = Duration::try_from_secs_f64(stage.elapsed_ms / 1e3);
        times
            .entry(&stage.stage)
            .or_default()
            .push(elapsed.unwrap_or_default());
        let report = stages.entry(stage.stage.clone()).or_default();
        report.attempts += u64::from(stage.attempts);
        report.repeated += u64::from(stage.attempts > 1);
    }
    for (name, times) in times {
        if let Some(report) = stages.get_mut(name) {
            report.time = Percentiles::of(times);
        }
    }
    stages
}

/// Counts the requests that were not attained, by code or reason.
fn refusal_counts_of(records: &[RequestRecord]) -> BTreeMap<String, RefusalCounts> {
    let mut refusals: BTreeMap<String, RefusalCounts> = BTreeMap::new();
    for record in records {
        let (code, not_run) = match &record.outcome {
            Outcome::Complete if record.is_attained() => continue,
            Outcome::Complete => ("late", false),
            Outcome::Refused { code, not_run } => (code.as_str(), *not_run),
            Outcome::Unanswered(reason) => (*reason, false),
        };
        let entry = refusals.entry(code.to_owned()).or_default();
        entry.inside_rate += usize::from(record.inside_rate);
        entry.outside_rate += usize::from(!record.inside_rate);
        entry.not_run += usize::from(not_run);
    }
    refusals
}

/// Counts requests inside the rate by the second of their scheduled arrival.
fn timeline_of(scenario: &Scenario, records: &[RequestRecord]) -> Vec<TimelineSecond> {
    let mut timeline = Vec::new();
    for record in records.iter().filter(|record| record.inside_rate) {
        let second = usize::try_from(record.at.as_secs()).unwrap_or_default();
        if timeline.len() <= second {
            timeline.resize_with(second + 1, TimelineSecond::default);
        }
        let name = scenario.organisations[record.organisation].name.to_string();
        let attained = usize::from(record.is_attained());
        let entry: &mut TimelineSecond = &mut timeline[second];
        entry.sent_inside += 1;
        entry.attained_inside += attained;
        let (sent, attained_of_organisation) = entry.organisations.entry(name).or_default();
        *sent += 1;
        *attained_of_organisation += attained;
    }
    timeline
}

fn percent(share: f64) -> String {
    // Rounds down, so that 100 % is shown only if every request was attained.
    format!("{:.2} %", (share * 1e4).floor() / 100.0)
}

fn table<const N: usize>(header: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table
}

fn percentile_cells(times: &Percentiles) -> [String; 3] {
    [times.p50_ms, times.p95_ms, times.p99_ms].map(|time| format!("{time:.1}"))
}

impl Report {
    fn organisation_table(&self) -> Table {
        let all = [("all", &self.overall)].into_iter();
        let each = self
            .organisations
            .iter()
            .map(|(name, service)| (name.as_str(), service));
        let is_worst = |name: &str| self.worst_organisation.as_deref() == Some(name);
        let rows = all.chain(each).map(|(name, service)| {
            let [p50, p95, p99] = percentile_cells(&service.latency);
            let suffix = if is_worst(name) { " (worst)" } else { "" };
            let shares = [service.attainment(), service.attainment_inside()].map(percent);
            let [attainment, inside] = shares;
            let sent = service.sent.to_string();
            [
                format!("{name}{suffix}"),
                sent,
                attainment,
                inside,
                p50,
                p95,
                p99,
            ]
        });
        let header = [
            "organisation",
            "sent",
            "attained",
            "attained inside rate",
            "p50 ms",
            "p95 ms",
            "p99 ms",
        ];
        table(header, rows)
    }

    fn time_table(&self) -> Table {
        let row = |name: &str, attempts: String, repeated: String, times: &Percentiles| {
            let [p50, p95, p99] = percentile_cells(times);
            [
                name.to_owned(),
                times.count.to_string(),
                attempts,
                repeated,
                p50,
                p95,
                p99,
            ]
        };
        let stages = self.stages.iter().map(|(name, stage)| {
            row(
                name,
                stage.attempts.to_string(),
                stage.repeated.to_string(),
                &stage.time,
            )
        });
        let empty = String::new;
        let tokens = [
            row("first token", empty(), empty(), &self.first_token),
            row("between tokens", empty(), empty(), &self.between_tokens),
        ];
        let header = [
            "stage or interval",
            "count",
            "attempts",
            "repeated",
            "p50 ms",
            "p95 ms",
            "p99 ms",
        ];
        table(header, stages.chain(tokens))
    }

    fn refusal_table(&self) -> Table {
        let rows = self.refusals.iter().map(|(code, refusals)| {
            let counts = [
                refusals.inside_rate,
                refusals.outside_rate,
                refusals.not_run,
            ];
            let [inside, outside, not_run] = counts.map(|count| count.to_string());
            [code.clone(), inside, outside, not_run]
        });
        table(
            ["not attained", "inside rate", "outside rate", "not run"],
            rows,
        )
    }

    fn work_table(&self) -> Table {
        let rows = self.ledgers.work.iter().map(|(service, work)| {
            let times = [work.elapsed_ms, work.lost_ms].map(|time| format!("{:.0}", time));
            let [elapsed, lost] = times;
            [
                service.clone(),
                work.runs.to_string(),
                elapsed,
                work.lost_runs.to_string(),
                lost,
            ]
        });
        let header = [
            "service",
            "runs",
            "ms",
            "runs of requests not attained",
            "ms of requests not attained",
        ];
        table(header, rows)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            scenario,
            seed,
            duration_s,
            ..
        } = self;
        writeln!(
            formatter,
            "scenario {scenario}, seed {seed}, {duration_s} s"
        )?;
        for table in [
            self.organisation_table(),
            self.time_table(),
            self.refusal_table(),
            self.work_table(),
        ] {
            writeln!(formatter, "{table}")?;
        }
        let ledgers = &self.ledgers;
        writeln!(
            formatter,
            "requests that a non-idempotent stage ran more than once: {}",
            ledgers.doubled_request_ids.len()
        )?;
        writeln!(
            formatter,
            "answers that named another request: {}",
            self.misdelivered
        )?;
        writeln!(
            formatter,
            "refusals by endpoints during a cold start: {}",
            ledgers.cold_refusals
        )?;
        writeln!(
            formatter,
            "API keys seen by endpoints: {}",
            ledgers.key_sightings
        )?;
        if self.skipped_arrivals > 0 {
            writeln!(
                formatter,
                "arrivals skipped, too many requests in flight: {}",
                self.skipped_arrivals
            )?;
        }
        for name in &ledgers.unread_endpoints {
            writeln!(formatter, "ledger of endpoint {name} could not be read")?;
        }
        for event in &self.events {
            let result = event.error.as_deref().unwrap_or("done");
            writeln!(formatter, "{:6.1} s  {}: {result}", event.at_s, event.label)?;
        }
        Ok(())
    }
}
