//! The report: what callers got, by organisation, stage and refusal code.

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

/// Longest time that histograms hold, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// What one run showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of arrivals and pipelines.
    pub seed: u64,
    /// Length of the run in seconds.
    pub duration_s: f64,
    /// Arrivals left out because too many requests were in flight.
    pub left_out: usize,
    /// Answers that named another request.
    pub misdelivered: usize,
    /// All requests.
    pub overall: Service,
    /// Requests by organisation.
    pub organisations: BTreeMap<String, Service>,
    /// The organisation with the lowest attainment inside its rate.
    pub worst_organisation: Option<String>,
    /// Time and attempts by stage, of whole answers.
    pub stages: BTreeMap<String, StageReport>,
    /// From arrival to the first token, of whole streams.
    pub first_token: Percentiles,
    /// Between tokens, of whole streams.
    pub between_tokens: Percentiles,
    /// Refusals and requests without an answer by code.
    pub refusals: BTreeMap<String, Refusals>,
    /// What the endpoints saw.
    pub ledgers: LedgerReport,
    /// Events with what came of them.
    pub events: Vec<EventReport>,
    /// Attainment by second of arrival.
    pub timeline: Vec<Second>,
}

/// What a set of requests got. A request is attained when its whole answer came within
/// its deadline.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Service {
    /// Requests.
    pub sent: usize,
    /// Requests attained.
    pub attained: usize,
    /// Requests sent while the organisation was inside its rate.
    pub sent_inside: usize,
    /// Requests attained of these.
    pub attained_inside: usize,
    /// From arrival to the whole answer, of whole answers.
    pub latency: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Half are at most this.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
}

/// One stage.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct StageReport {
    /// Time of the stage as the fleet reports it, all attempts together.
    pub time: Percentiles,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Requests that needed more than one attempt.
    pub repeated: u64,
}

/// Refusals of one code.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Refusals {
    /// While the organisation was inside its rate.
    pub inside_rate: usize,
    /// While it was outside.
    pub outside_rate: usize,
    /// Refusals that said that nothing ran.
    pub not_run: usize,
}

/// Requests that arrived in one second.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests inside the rate.
    pub sent_inside: usize,
    /// Requests attained of these.
    pub attained_inside: usize,
    /// The same by organisation: sent and attained.
    pub organisations: BTreeMap<String, (usize, usize)>,
}

impl Service {
    /// Share of requests attained; none sent counts as all attained.
    pub fn attainment(&self) -> f64 {
        share(self.attained, self.sent)
    }

    /// Share of requests inside the rate that were attained.
    pub fn attainment_inside(&self) -> f64 {
        share(self.attained_inside, self.sent_inside)
    }

    fn add(&mut self, record: &RequestRecord) {
        let (attained, inside) = (record.is_attained(), record.inside_rate);
        self.sent += 1;
        self.attained += usize::from(attained);
        self.sent_inside += usize::from(inside);
        self.attained_inside += usize::from(attained && inside);
    }
}

/// Returns `part` of `whole`, or 1 when there is nothing.
pub fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

impl Percentiles {
    /// Computes the percentiles to three digits.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        // The arguments are constants that the library accepts.
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_MICROS, 3) else {
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

/// Makes the report of all records.
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
        .map(|(name, records)| (name, service_of(&records)))
        .collect();
    let worst = organisations.iter().min_by(|one, other| {
        one.1
            .attainment_inside()
            .total_cmp(&other.1.attainment_inside())
    });
    let whole = || {
        records
            .iter()
            .filter(|record| record.outcome == Outcome::Complete)
    };
    Report {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        duration_s: scenario.duration_s,
        left_out: 0,
        misdelivered: records
            .iter()
            .filter(|record| record.is_misdelivered)
            .count(),
        overall: service_of(&records.iter().collect::<Vec<_>>()),
        worst_organisation: worst.map(|(name, _)| name.clone()),
        organisations,
        stages: stages_of(records),
        first_token: Percentiles::of(whole().filter_map(|record| record.first_token)),
        between_tokens: Percentiles::of(
            whole().flat_map(|record| record.token_gaps.iter().copied()),
        ),
        refusals: refusals_of(records),
        ledgers,
        events,
        timeline: timeline_of(scenario, records),
    }
}

fn service_of(records: &[&RequestRecord]) -> Service {
    let mut service = Service::default();
    for record in records {
        service.add(record);
    }
    let whole = records
        .iter()
        .filter(|record| record.outcome == Outcome::Complete);
    service.latency = Percentiles::of(whole.map(|record| record.elapsed));
    service
}

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

fn refusals_of(records: &[RequestRecord]) -> BTreeMap<String, Refusals> {
    let mut refusals: BTreeMap<String, Refusals> = BTreeMap::new();
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

fn timeline_of(scenario: &Scenario, records: &[RequestRecord]) -> Vec<Second> {
    let mut timeline = Vec::new();
    for record in records.iter().filter(|record| record.inside_rate) {
        let second = usize::try_from(record.at.as_secs()).unwrap_or_default();
        if timeline.len() <= second {
            timeline.resize_with(second + 1, Second::default);
        }
        let name = scenario.organisations[record.organisation].name.to_string();
        let attained = usize::from(record.is_attained());
        let entry: &mut Second = &mut timeline[second];
        entry.sent_inside += 1;
        entry.attained_inside += attained;
        let (sent, whole) = entry.organisations.entry(name).or_default();
        *sent += 1;
        *whole += attained;
    }
    timeline
}

fn percent(share: f64) -> String {
    // Rounded down, so that 100 % means every request.
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
    fn service_table(&self) -> Table {
        let all = [("all", &self.overall)].into_iter();
        let each = self
            .organisations
            .iter()
            .map(|(name, service)| (name.as_str(), service));
        let worst = |name: &str| self.worst_organisation.as_deref() == Some(name);
        let rows = all.chain(each).map(|(name, service)| {
            let [p50, p95, p99] = percentile_cells(&service.latency);
            let mark = if worst(name) { " (worst)" } else { "" };
            let shares = [service.attainment(), service.attainment_inside()].map(percent);
            let [attainment, inside] = shares;
            let sent = service.sent.to_string();
            [
                format!("{name}{mark}"),
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
        let none = String::new;
        let tokens = [
            row("first token", none(), none(), &self.first_token),
            row("between tokens", none(), none(), &self.between_tokens),
        ];
        let header = [
            "time of", "count", "attempts", "repeated", "p50 ms", "p95 ms", "p99 ms",
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
            "ms of these",
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
            self.service_table(),
            self.time_table(),
            self.refusal_table(),
            self.work_table(),
        ] {
            writeln!(formatter, "{table}")?;
        }
        let ledgers = &self.ledgers;
        writeln!(
            formatter,
            "doubled request ids: {}",
            ledgers.doubled_request_ids.len()
        )?;
        writeln!(
            formatter,
            "answers to other requests: {}",
            self.misdelivered
        )?;
        writeln!(
            formatter,
            "refusals by endpoints in a cold start: {}",
            ledgers.cold_refusals
        )?;
        writeln!(
            formatter,
            "keys seen by endpoints: {}",
            ledgers.key_sightings
        )?;
        if self.left_out > 0 {
            writeln!(formatter, "arrivals left out: {}", self.left_out)?;
        }
        for name in &ledgers.unread_endpoints {
            writeln!(formatter, "ledger not read: {name}")?;
        }
        for event in &self.events {
            let done = event.error.as_deref().unwrap_or("done");
            writeln!(formatter, "{:6.1} s  {}: {done}", event.at_s, event.label)?;
        }
        Ok(())
    }
}
