//! Keeps the newest load that endpoints report and the share of requests that they fail.
//!
//! One VM of a large fleet sends to each endpoint only every few seconds, while queues and the speed
//! of shared machines change within a fraction of a second. So VMs exchange the newest observations
//! (`docs/design/endpoint-load.md`). An observation travels with its age, so the clocks of VMs need
//! not agree. This handles uneven engines, machines that turn slow for moments, and endpoints that
//! fail a part of their requests while they look healthy.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use smallvec::SmallVec;

use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Number of endpoints whose observations fit into one datagram that is not fragmented.
pub const MAX_SHARED: usize = 40;
/// Age above which an observation is no longer passed on.
const MAX_SHARED_AGE: Duration = Duration::from_millis(800);
/// Number of rounds in which a VM passes on an observation. With a few receivers in each round,
/// almost all VMs get it.
const SHARED_ROUNDS: u8 = 3;
/// Half-life of a reported queue, which is about the time that a generation takes.
const QUEUE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of a reported work time. Machines change their speed many times a second.
const WORK_TIME_HALF_LIFE: Duration = Duration::from_millis(300);
/// Half-life of a share of failures without a newer outcome, so that an endpoint is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Weight of the newest prompt in the mean length of prompts.
const PROMPT_WEIGHT: f64 = 0.05;
/// Half-life of the demand for a prompt prefix. One VM of a large fleet sees even a popular prefix about
/// once a second.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Upper bound of the number of prompt prefixes whose demand is remembered.
const MAX_PREFIXES: usize = 1_024;
/// Age at which an endpoint without observations is forgotten.
const FORGET_AGE: Duration = Duration::from_secs(20);
/// Upper bound of the number of endpoints that are remembered.
const MAX_ENDPOINTS: usize = 4_096;
/// Upper bound of the own sends since the last report that are counted for one endpoint.
const MAX_SENDS: usize = 64;
/// Age above which an own send no longer counts. An endpoint that reports nothing new would be avoided
/// for good otherwise.
const MAX_SEND_AGE: Duration = Duration::from_secs(2);
/// Largest number of requests in a report. A larger one is a mistake of the endpoint.
pub const MAX_REPORTED_REQUESTS: u32 = 100_000;
/// Largest work time in a report, in percent of the usual one.
pub const MAX_WORK_TIME_PERCENT: u32 = 100_000;
/// Bounds of the factor by which a reported work time counts, so that a wrong report neither attracts
/// all requests nor keeps all away.
const WORK_FACTOR_BOUNDS: (f64, f64) = (0.7, 8.0);

/// Load that an endpoint reports in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Time that work takes on the endpoint's machine now, in percent of the usual time. `None` from
    /// endpoints that do not report it.
    pub work_time_percent: Option<u32>,
}

impl LoadReport {
    /// Returns whether the figures can be those of an endpoint.
    pub fn is_plausible(&self) -> bool {
        let is_count = |count| count <= MAX_REPORTED_REQUESTS;
        let percent = self.work_time_percent;
        is_count(self.running)
            && is_count(self.waiting)
            && (1..=MAX_REPORTED_REQUESTS).contains(&self.slots)
            && percent.is_none_or(|percent| (1..=MAX_WORK_TIME_PERCENT).contains(&percent))
    }
}

/// Key of one process of an endpoint. A restarted endpoint has another one, so that what was observed
/// of the former process says nothing about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProcessKey(pub u64);

impl ProcessKey {
    /// Returns the key of an endpoint's process, which is the same on all VMs.
    pub fn of(endpoint: &Endpoint) -> Self {
        let mut hasher = DefaultHasher::new();
        (endpoint.id.as_str(), endpoint.started_ms).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Something that one VM observed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation<T> {
    /// What was observed.
    pub value: T,
    /// Random number by which an observation that comes back on another path is recognised.
    pub number: u32,
    /// Time since the observation.
    pub age: Duration,
}

/// The newest observations of one endpoint, as VMs exchange them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedLoad {
    /// The endpoint's process.
    pub process: ProcessKey,
    /// Load that it reported last.
    pub load: Option<Observation<LoadReport>>,
    /// Whether the last attempt that ended had failed.
    pub has_failed: Option<Observation<bool>>,
}

/// An observation with the time at which it was made.
#[derive(Debug, Clone, Copy)]
struct Kept<T> {
    value: T,
    number: u32,
    at: Time,
    rounds: u8,
}

impl<T: Copy> Kept<T> {
    fn is_news(&self, now: Time) -> bool {
        self.rounds < SHARED_ROUNDS && now.since(self.at) <= MAX_SHARED_AGE
    }

    fn share(&mut self, now: Time) -> Option<Observation<T>> {
        if !self.is_news(now) {
            return None;
        }
        self.rounds += 1;
        Some(Observation {
            value: self.value,
            number: self.number,
            age: now.since(self.at),
        })
    }
}

/// Takes over an observation that is newer than the known one. Returns whether it was.
fn accept<T: Copy>(
    known: &mut Option<Kept<T>>,
    now: Time,
    Observation { value, number, age }: Observation<T>,
) -> bool {
    let at = Time {
        micros: now.micros.saturating_sub(age.as_micros() as u64),
    };
    if let Some(known) = known {
        if known.number == number {
            // Each passing on hides the time of its transfer, so the oldest copy is the truest.
            known.at = known.at.min(at);
            return false;
        }
        if known.at >= at {
            return false;
        }
    }
    let rounds = 0;
    *known = Some(Kept {
        value,
        number,
        at,
        rounds,
    });
    true
}

/// A send of this VM that the last report of the endpoint does not include.
#[derive(Debug, Clone, Copy)]
struct Send {
    at: Time,
    prompt_tokens: u32,
}

/// What is known of one process of an endpoint.
#[derive(Debug, Default)]
struct Entry {
    load: Option<Kept<LoadReport>>,
    has_failed: Option<Kept<bool>>,
    failure_share: f64,
    sends: SmallVec<[Send; 4]>,
    /// Whether requests are sent to the endpoint one by one, so that its load matters to other VMs.
    is_shared: bool,
}

impl Entry {
    fn accept_load(&mut self, now: Time, load: Observation<LoadReport>) -> bool {
        let is_new = accept(&mut self.load, now, load);
        if let Some(kept) = self.load.filter(|_| is_new) {
            self.sends.retain(|send| send.at > kept.at);
        }
        is_new
    }

    fn accept_outcome(&mut self, now: Time, has_failed: Observation<bool>) -> bool {
        let share = self.failure_share(now);
        let is_new = accept(&mut self.has_failed, now, has_failed);
        if is_new {
            let newest = f64::from(u8::from(has_failed.value));
            self.failure_share = share * (1.0 - OUTCOME_WEIGHT) + newest * OUTCOME_WEIGHT;
        }
        is_new
    }

    fn failure_share(&self, now: Time) -> f64 {
        let Some(newest) = &self.has_failed else {
            return 0.0;
        };
        self.failure_share * decay(now.since(newest.at), FAILURE_HALF_LIFE)
    }

    /// Drops what is old. Returns whether anything is left.
    fn keep_recent(&mut self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) <= FORGET_AGE;
        self.load = self.load.filter(|load| is_recent(load.at));
        self.load.is_some() || self.sends.last().is_some_and(|send| is_recent(send.at))
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// What is known of an endpoint's load now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// The newest report.
    pub report: LoadReport,
    /// Age of the newest report.
    pub age: Duration,
    /// Weight of the reported queue, between 0 and 1; it falls with the age of the report.
    pub queue_weight: f64,
    /// Factor by which work takes longer than usual, which fades to 1 with the age of the report.
    pub work_factor: f64,
    /// Number of requests of this VM that the report does not include.
    pub own_sends: u32,
    /// Prompt tokens of these requests.
    pub own_prompt_tokens: u64,
    /// Share of the recent requests that failed, which fades with its age.
    pub failure_share: f64,
}

impl std::fmt::Display for LoadEstimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}+{}/{} work_percent={} own={} failing={:.2} age_ms={}",
            self.report.running,
            self.report.waiting,
            self.report.slots,
            self.report.work_time_percent.unwrap_or(100),
            self.own_sends,
            self.failure_share,
            self.age.as_millis()
        )
    }
}

/// Newest loads and outcomes of the endpoints whose service reports how long work takes. It stays
/// empty until the first such report.
#[derive(Debug)]
pub struct EngineLoad {
    entries: HashMap<ProcessKey, Entry>,
    /// Start of the numbers of this VM's observations.
    seed: u64,
    observed: u64,
    /// Moving average of the prompts that this VM sends.
    mean_prompt_tokens: f64,
    /// Prompt tokens beside the prefix that this VM sent lately, by prefix.
    demands: HashMap<u64, Demand>,
    /// Number of VMs that send requests.
    vms: u32,
}

/// Sum of prompt tokens whose older parts count for less.
#[derive(Debug, Clone, Copy)]
struct Demand {
    tokens: f64,
    at: Time,
}

impl Demand {
    fn tokens(self, now: Time) -> f64 {
        self.tokens * decay(now.since(self.at), DEMAND_HALF_LIFE)
    }
}

impl EngineLoad {
    /// Starts without observations. `seed` differs between VMs.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: HashMap::new(),
            seed,
            observed: 0,
            mean_prompt_tokens: 0.0,
            demands: HashMap::new(),
            vms: 1,
        }
    }

    /// Records the load in an answer that was received now. A report without the work time is dropped,
    /// so that endpoints that do not tell it are chosen without reports.
    pub fn on_report(&mut self, now: Time, process: ProcessKey, report: LoadReport) {
        if report.work_time_percent.is_none() || !self.has_room(process) {
            return;
        }
        let observation = self.observe(report);
        let entry = self.entries.entry(process).or_default();
        entry.accept_load(now, observation);
    }

    /// Records that this VM sends a request to an endpoint.
    pub fn on_send(&mut self, now: Time, process: ProcessKey, prompt_tokens: u32) {
        if self.is_empty() || !self.has_room(process) {
            return;
        }
        let entry = self.entries.entry(process).or_default();
        entry.is_shared = true;
        if entry.sends.len() == MAX_SENDS {
            entry.sends.remove(0);
        }
        let at = now;
        entry.sends.push(Send { at, prompt_tokens });
        if prompt_tokens > 0 {
            let step = f64::from(prompt_tokens) - self.mean_prompt_tokens;
            let is_first = self.mean_prompt_tokens == 0.0;
            self.mean_prompt_tokens += step * if is_first { 1.0 } else { PROMPT_WEIGHT };
        }
    }

    /// Records a prompt with a shared prefix, of which an engine reads `unshared_tokens`.
    pub fn on_prompt(&mut self, now: Time, prefix: u64, unshared_tokens: u32) {
        let is_known = self.demands.contains_key(&prefix);
        if self.is_empty() || (!is_known && self.demands.len() >= MAX_PREFIXES) {
            return;
        }
        let none = Demand {
            tokens: 0.0,
            at: now,
        };
        let demand = self.demands.entry(prefix).or_insert(none);
        demand.tokens = demand.tokens(now) + f64::from(unshared_tokens);
        demand.at = now;
    }

    /// Returns how many prompt tokens beside a prefix all VMs together send in a second.
    pub fn demand_tokens_per_s(&self, now: Time, prefix: u64) -> f64 {
        let tokens = self.demands.get(&prefix);
        let tokens = tokens.map_or(0.0, |demand| demand.tokens(now));
        let mean_age_s = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        tokens / mean_age_s * f64::from(self.vms)
    }

    /// Sets the number of VMs that send requests.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// Returns the mean length of the prompts that this VM sent recently; 0 if it has sent none.
    pub fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// Records whether an attempt of this VM failed.
    pub fn on_outcome(&mut self, now: Time, process: ProcessKey, has_failed: bool) {
        let observation = self.observe(has_failed);
        if let Some(entry) = self.entries.get_mut(&process) {
            entry.accept_outcome(now, observation);
        }
    }

    /// Takes over what another VM knows. Returns how many of its reports of load were newer than the
    /// known ones.
    pub fn receive(&mut self, now: Time, shared: &[SharedLoad]) -> usize {
        let mut used = 0;
        for other in shared {
            if !self.has_room(other.process) {
                continue;
            }
            let load = other.load.filter(|load| load.age <= MAX_SHARED_AGE);
            let load = load.filter(|load| load.value.work_time_percent.is_some());
            let has_failed = other.has_failed;
            let has_failed = has_failed.filter(|outcome| outcome.age <= MAX_SHARED_AGE);
            if load.is_none() && !self.entries.contains_key(&other.process) {
                continue;
            }
            let entry = self.entries.entry(other.process).or_default();
            entry.is_shared = true;
            used += usize::from(load.is_some_and(|load| entry.accept_load(now, load)));
            if let Some(has_failed) = has_failed {
                entry.accept_outcome(now, has_failed);
            }
        }
        used
    }

    /// Returns the newest observations that other VMs may lack, at most [`MAX_SHARED`] endpoints.
    pub fn take_news(&mut self, now: Time) -> Vec<SharedLoad> {
        let mut news: Vec<(Duration, &ProcessKey, &mut Entry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_shared && entry.load.is_some())
            .filter_map(|(process, entry)| {
                let load = entry.load.filter(|load| load.is_news(now));
                let outcome = entry.has_failed.filter(|outcome| outcome.is_news(now));
                let load_age = load.map(|load| now.since(load.at));
                let outcome_age = outcome.map(|outcome| now.since(outcome.at));
                let age = load_age.into_iter().chain(outcome_age).min()?;
                Some((age, process, entry))
            })
            .collect();
        if news.len() > MAX_SHARED {
            news.select_nth_unstable_by_key(MAX_SHARED, |(age, ..)| *age);
            news.truncate(MAX_SHARED);
        }
        let shared = news.into_iter().map(|(_, process, entry)| SharedLoad {
            process: *process,
            load: entry.load.as_mut().and_then(|load| load.share(now)),
            has_failed: entry
                .has_failed
                .as_mut()
                .and_then(|outcome| outcome.share(now)),
        });
        shared.collect()
    }

    /// Returns whether no endpoint has reported its work time.
    pub fn is_empty(&self) -> bool {
        !self.entries.values().any(|entry| entry.load.is_some())
    }

    /// Returns what is known of an endpoint; `None` if it has not reported its load lately.
    pub fn estimate(&self, now: Time, process: ProcessKey) -> Option<LoadEstimate> {
        let entry = self.entries.get(&process)?;
        let load = entry.load.as_ref()?;
        let age = now.since(load.at);
        let reported = f64::from(load.value.work_time_percent?) / 100.0;
        let reported = reported.clamp(WORK_FACTOR_BOUNDS.0, WORK_FACTOR_BOUNDS.1);
        let work_factor = 1.0 + (reported - 1.0) * decay(age, WORK_TIME_HALF_LIFE);
        let recent = entry.sends.iter();
        let recent = recent.filter(|send| now.since(send.at) <= MAX_SEND_AGE);
        let tokens = recent.clone().map(|send| u64::from(send.prompt_tokens));
        Some(LoadEstimate {
            report: load.value,
            age,
            queue_weight: decay(age, QUEUE_HALF_LIFE),
            work_factor,
            own_sends: recent.count() as u32,
            own_prompt_tokens: tokens.sum(),
            failure_share: entry.failure_share(now),
        })
    }

    /// Forgets endpoints without recent observations.
    pub fn forget_old(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.keep_recent(now));
        let is_recent = |demand: &Demand| now.since(demand.at) <= FORGET_AGE;
        self.demands.retain(|_, demand| is_recent(demand));
    }

    fn has_room(&self, process: ProcessKey) -> bool {
        self.entries.len() < MAX_ENDPOINTS || self.entries.contains_key(&process)
    }

    fn observe<T>(&mut self, value: T) -> Observation<T> {
        self.observed += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.observed).hash(&mut hasher);
        Observation {
            value,
            number: hasher.finish() as u32,
            age: Duration::ZERO,
        }
    }
}
