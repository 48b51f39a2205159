//! Batches of stage items for the endpoints of one service.
//!
//! A call costs a fixed time besides its items, so the throughput of a service depends on full
//! batches. One VM batches for the whole fleet (`docs/platform.md`, "Stages"): items wait while
//! all endpoints are busy, and an endpoint that becomes free takes as many as fit. Answers the
//! pattern of bursts above the capacity of unbatched calls.

mod endpoint;
mod job;
mod selection;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use job::{
    Batch, BatchFailure, ItemFailure, ItemInput, ItemSpec, Job, JobEnd, JobId, endpoint_address,
};

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::circuit::{CircuitConfig, Role};
use crate::decisions::retry::{RetryBudget, RetryConfig};
use crate::fleet::model::{BatchLimits, Endpoint};
use crate::units::{DataCentreName, EndpointName, Time};

/// Weight of the newest call in the speed of an endpoint.
const SPEED_WEIGHT: f64 = 0.4;

/// Pause that is told when the budget for retries is used up; requests earn some of it until then.
const RETRIES_PAUSE: Duration = Duration::from_millis(500);

/// Settings of a batcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchingConfig {
    /// Circuits of the endpoints; a reset or refused connection opens one at once.
    pub circuit: CircuitConfig,
    /// An endpoint that takes this many times as long as the fastest counts as slow.
    pub slow_ratio: f64,
    /// A slow endpoint gets a call this often, which shows whether it has recovered.
    pub slow_retry: Duration,
    /// A call that takes this many times its expected time is given up.
    pub timeout_ratio: f64,
    /// Minimum time after which a call is given up.
    pub min_timeout: Duration,
    /// Pause of an endpoint that had no result memory left.
    pub memory_pause: Duration,
    /// Time after which an endpoint is asked again for its result memory, while others use some of
    /// it.
    pub memory_ask_period: Duration,
    /// Time for which a call waits for the answer.
    pub memory_answer: Duration,
}

impl Default for BatchingConfig {
    fn default() -> Self {
        Self {
            circuit: CircuitConfig {
                failures_to_open: 1,
                initial_pause: Duration::from_millis(300),
                max_pause: Duration::from_secs(4),
            },
            slow_ratio: 2.2,
            slow_retry: Duration::from_secs(2),
            timeout_ratio: 3.0,
            min_timeout: Duration::from_millis(900),
            memory_pause: Duration::from_millis(100),
            memory_ask_period: Duration::from_millis(400),
            memory_answer: Duration::from_millis(60),
        }
    }
}

#[derive(Debug, Clone)]
struct Item {
    job: JobId,
    index: u32,
    due: Time,
    deadline: Time,
    result_bytes: u64,
    attempts: u32,
    /// From when on it may run away from the rest of its job.
    strays_at: Time,
}

#[derive(Debug)]
struct JobState {
    /// Where its items run: where their inputs are, or where the first item ran.
    data_centre: Option<DataCentreName>,
    /// Whether any item was sent; its result uses memory until all others have one.
    is_started: bool,
    job: Job,
    results: Vec<Option<String>>,
    missing: u32,
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointName,
    items: Vec<Item>,
    started_at: Time,
    nominal_ms: f64,
    reserved_bytes: u64,
    role: Role,
}

/// Queue and endpoints of one service.
#[derive(Debug)]
pub struct Batcher {
    config: BatchingConfig,
    limits: BatchLimits,
    queue: Vec<Item>,
    jobs: HashMap<JobId, JobState>,
    endpoints: HashMap<EndpointName, EndpointState>,
    running: HashMap<u64, Running>,
    batches: u64,
    budget: RetryBudget,
}

impl Batcher {
    /// Starts empty. `retries` bounds the items that are sent again.
    pub fn new(config: BatchingConfig, limits: BatchLimits, retries: RetryConfig) -> Self {
        Self {
            config,
            limits,
            queue: Vec::new(),
            jobs: HashMap::new(),
            endpoints: HashMap::new(),
            running: HashMap::new(),
            batches: 0,
            budget: RetryBudget::new(retries),
        }
    }

    /// Takes over limits of a newer configuration.
    pub fn set_limits(&mut self, limits: BatchLimits) {
        self.limits = limits;
    }

    /// Returns how many items wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the time until items that arrive now have run, for `endpoints` endpoints.
    pub fn expected_wait(&self, now: Time, endpoints: usize, items: usize) -> Duration {
        let endpoints = endpoints.max(1) as f64;
        let full_ms = self.nominal_ms(self.limits.batch);
        let ahead = self.queue.len() + items;
        let calls = (ahead as f64 / self.limits.batch as f64).ceil();
        let running_ms: f64 = self
            .running
            .values()
            .map(|call| (call.nominal_ms - now.since(call.started_at).as_millis() as f64).max(0.0))
            .sum();
        let own_ms = self.nominal_ms(items.min(self.limits.batch));
        let ahead_ms = ((calls - 1.0).max(0.0) * full_ms + running_ms) / endpoints;
        Duration::from_secs_f64((ahead_ms + own_ms) / 1_000.0)
    }

    /// Adds a job, unless it provably ends after its deadline; then the time is returned
    /// after which there is room again.
    ///
    /// # Errors
    ///
    /// Returns how long the queue needs to become short enough.
    pub fn push(&mut self, now: Time, endpoints: usize, job: Job) -> Result<(), Duration> {
        let wait = self.expected_wait(now, endpoints, job.items as usize);
        if now + wait > job.deadline {
            let excess = (now + wait).since(job.deadline);
            return Err(excess.max(Duration::from_millis(100)));
        }
        if job.is_retry {
            if !self.budget.take_all(job.items) {
                return Err(RETRIES_PAUSE);
            }
        } else {
            self.budget.on_first_attempt();
        }
        let usual = self.usual_time();
        let strays_at = (now + usual).min(job.due - usual * 2).max(now);
        let items = (0..job.items).map(|index| Item {
            strays_at,
            job: job.id,
            index,
            due: job.due,
            deadline: job.deadline,
            result_bytes: job.result_bytes,
            attempts: 1,
        });
        self.queue.extend(items);
        let state = JobState {
            results: vec![None; job.items as usize],
            missing: job.items,
            data_centre: job.preferred_data_centre.clone(),
            is_started: false,
            job,
        };
        self.jobs.insert(state.job.id, state);
        Ok(())
    }

    /// Drops a job whose request ended, and returns the results that it already has.
    pub fn cancel(&mut self, id: JobId) -> Vec<String> {
        self.withdraw(id).unwrap_or_default()
    }

    /// Ends the jobs that can not be done in time any more.
    pub fn expire(&mut self, now: Time) -> Vec<JobEnd> {
        let least = Duration::from_secs_f64(self.nominal_ms(1) / 1_000.0);
        let late: Vec<JobId> = self
            .queue
            .iter()
            .filter(|item| now + least > item.deadline)
            .map(|item| item.job)
            .collect();
        let end = |id| self.fail(id, ItemFailure::Late);
        late.into_iter().filter_map(end).collect()
    }

    /// Returns the endpoints that are to be asked for their result memory before they get calls.
    pub fn ask_for_memory(&mut self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for endpoint in usable {
            let state = self.endpoints.entry(endpoint.id.clone()).or_default();
            if state.is_memory_due(now, &self.config) {
                if state.others_bytes() == 0 {
                    state.memory = ResultMemory::Asked(now);
                } else {
                    state.memory = ResultMemory::Taken(state.others_bytes(), now);
                }
                due.push(Arc::clone(endpoint));
            }
        }
        due
    }

    /// Takes over what an endpoint says of its result memory; `None` when it does not say.
    pub fn on_memory_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        free_bytes: Option<u64>,
    ) {
        let total = self.limits.result_memory_bytes;
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.memory = ResultMemory::Taken(0, now);
        let known = state.used_bytes();
        let others = free_bytes.map_or(0, |free| total.saturating_sub(free.saturating_add(known)));
        state.memory = ResultMemory::Taken(others, now);
    }

    /// Returns the next call to make, if an endpoint is free and items wait.
    pub fn next_batch(&mut self, now: Time, usable: &[Arc<Endpoint>]) -> Option<Batch> {
        if self.queue.is_empty() {
            return None;
        }
        self.sort_queue(now);
        let (endpoint, items) =
            self.free_endpoints(now, usable)
                .into_iter()
                .find_map(|endpoint| {
                    let items = self.take_items(now, &endpoint);
                    (!items.is_empty()).then_some((endpoint, items))
                })?;
        for item in &items {
            if let Some(state) = self.jobs.get_mut(&item.job) {
                state
                    .data_centre
                    .get_or_insert(endpoint.data_centre.clone());
                state.is_started = true;
            }
        }
        let last_inputs = self.last_inputs(&items);
        let nominal_ms = self.nominal_ms(items.len());
        let reserved_bytes = items.iter().map(|item| item.result_bytes).sum();
        let state = self.endpoints.entry(endpoint.id.clone()).or_default();
        state.calls += 1;
        state.reserved_bytes += reserved_bytes;
        state.last_call_at = now;
        let used_bytes = state.used_bytes();
        let role = state.circuit.on_start();
        let slowness = state.slowness.max(1.0);
        self.batches += 1;
        let id = self.batches;
        let specs = items
            .iter()
            .filter_map(|item| Some((self.spec(item)?, item.deadline)))
            .collect();
        let timeout_ms = nominal_ms * slowness.min(2.0) * self.config.timeout_ratio;
        let running = Running {
            endpoint: endpoint.id.clone(),
            items,
            started_at: now,
            nominal_ms,
            reserved_bytes,
            role,
        };
        self.running.insert(id, running);
        Some(Batch {
            id,
            endpoint,
            items: specs,
            timeout: Duration::from_secs_f64(timeout_ms / 1_000.0).max(self.config.min_timeout),
            last_inputs,
            used_bytes,
        })
    }

    /// Notes the outcome of a call and returns the jobs that ended with it. Results of jobs
    /// that ended before are among the orphans.
    pub fn finish(
        &mut self,
        now: Time,
        id: u64,
        outcome: Result<Vec<Result<String, ItemFailure>>, BatchFailure>,
    ) -> (Vec<JobEnd>, Vec<String>) {
        let Some(call) = self.running.remove(&id) else {
            return (Vec::new(), Vec::new());
        };
        self.note_endpoint(now, &call, &outcome);
        let outcomes = outcome.unwrap_or_else(|_| vec![Err(ItemFailure::Failed); call.items.len()]);
        let mut ends = Vec::new();
        let mut orphans = Vec::new();
        for (item, outcome) in call.items.into_iter().zip(outcomes) {
            match outcome {
                Ok(handle) => {
                    self.keep_result(now, &call.endpoint, &handle, item.result_bytes);
                    match self.accept(&item, handle) {
                        Ok(end) => ends.extend(end),
                        Err(orphan) => orphans.push(orphan),
                    }
                }
                Err(failure) => ends.extend(self.retry(now, item, failure)),
            }
        }
        (ends, orphans)
    }

    /// Notes that a result was freed; returns whether it was known.
    pub fn on_freed(&mut self, handle: &str) -> bool {
        let mut states = self.endpoints.values_mut();
        states.any(|state| state.results.remove(handle).is_some())
    }

    /// Forgets results whose time is over and endpoints that are gone.
    pub fn sweep(&mut self, now: Time, usable: &[Arc<Endpoint>]) {
        for state in self.endpoints.values_mut() {
            state.results.retain(|_, (_, until)| now < *until);
        }
        self.endpoints.retain(|id, state| {
            state.calls > 0
                || !state.results.is_empty()
                || usable.iter().any(|endpoint| endpoint.id == *id)
        });
    }

    fn nominal_ms(&self, items: usize) -> f64 {
        self.limits.call_ms + self.limits.item_ms * items as f64
    }

    fn spec(&self, item: &Item) -> Option<ItemSpec> {
        let state = self.jobs.get(&item.job)?;
        Some(ItemSpec {
            request: Arc::clone(&state.job.request),
            stage: state.job.stage,
            index: item.index,
            input: state.job.input.clone(),
        })
    }

    fn note_endpoint(
        &mut self,
        now: Time,
        call: &Running,
        outcome: &Result<Vec<Result<String, ItemFailure>>, BatchFailure>,
    ) {
        let state = self.endpoints.entry(call.endpoint.clone()).or_default();
        state.calls = state.calls.saturating_sub(1);
        state.reserved_bytes = state.reserved_bytes.saturating_sub(call.reserved_bytes);
        match outcome {
            Ok(items) => {
                state.circuit.on_success();
                let took_ms = now.since(call.started_at).as_secs_f64() * 1_000.0;
                let ratio = took_ms / call.nominal_ms.max(1.0);
                state.slowness = if state.slowness == 0.0 {
                    ratio
                } else {
                    state.slowness * (1.0 - SPEED_WEIGHT) + ratio * SPEED_WEIGHT
                };
                if items.contains(&Err(ItemFailure::NoRoom)) {
                    state.paused_until = now + self.config.memory_pause;
                    state.memory = ResultMemory::Unknown;
                }
            }
            Err(_) => state
                .circuit
                .on_failure(now, call.role, &self.config.circuit),
        }
    }

    fn keep_result(&mut self, now: Time, endpoint: &EndpointName, handle: &str, bytes: u64) {
        let until = now + self.limits.result_ttl;
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.results.insert(handle.to_owned(), (bytes, until));
    }

    /// Stores a result; returns the end of the job if it was the last one, and the result
    /// itself if nobody waits for it.
    fn accept(&mut self, item: &Item, handle: String) -> Result<Option<JobEnd>, String> {
        let Some(state) = self.jobs.get_mut(&item.job) else {
            return Err(handle);
        };
        let place = &mut state.results[item.index as usize];
        if place.is_some() {
            return Err(handle);
        }
        *place = Some(handle);
        state.missing -= 1;
        if state.missing > 0 {
            return Ok(None);
        }
        let state = self.jobs.remove(&item.job);
        Ok(state.map(|state| JobEnd {
            id: state.job.id,
            results: Ok(state.results.into_iter().flatten().collect()),
            orphans: Vec::new(),
        }))
    }

    /// Queues an item again if another run can help, or ends its job.
    fn retry(&mut self, now: Time, mut item: Item, failure: ItemFailure) -> Option<JobEnd> {
        if !self.jobs.contains_key(&item.job) {
            return None;
        }
        let least = Duration::from_secs_f64(self.nominal_ms(1) / 1_000.0);
        let can_help = matches!(failure, ItemFailure::Failed | ItemFailure::NoRoom)
            && now + least <= item.deadline;
        if !can_help || !self.budget.take(item.attempts) {
            return self.fail(item.job, failure);
        }
        item.attempts += 1;
        self.queue.push(item);
        None
    }

    fn fail(&mut self, id: JobId, failure: ItemFailure) -> Option<JobEnd> {
        Some(JobEnd {
            id,
            results: Err(failure),
            orphans: self.withdraw(id)?,
        })
    }

    /// Takes a job out, with the results that it already has.
    fn withdraw(&mut self, id: JobId) -> Option<Vec<String>> {
        self.queue.retain(|item| item.job != id);
        let state = self.jobs.remove(&id)?;
        Some(state.results.into_iter().flatten().collect())
    }
}
