//! Groups stage items into batches for the endpoints of one service.
//!
//! Each call has a fixed cost in addition to the cost of its items, so a service reaches its full
//! throughput only with full batches. One VM batches for the whole fleet (`docs/platform.md`,
//! "Stages"): items wait while all endpoints are busy, and an endpoint that becomes free takes as
//! many items as fit. This handles bursts that exceed the capacity of unbatched calls.

mod endpoint;
mod job;
mod queue;
mod selection;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

pub use job::{
    Batch, BatchFailure, ItemFailure, ItemInput, ItemSpec, Job, JobEnd, JobId, endpoint_address,
};

use smallvec::SmallVec;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::queue::JobQueue;
use crate::decisions::circuit::{CircuitConfig, Role};
use crate::decisions::group_choice::GroupLoad;
use crate::decisions::retry_window::{RetryWindow, RetryWindowConfig};
use crate::fleet::model::{BatchLimits, Endpoint};
use crate::units::{DataCentreName, EndpointName, Time};

/// Weight of the newest call in the moving average of an endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;

/// Maximum number of runs of one item, the first included.
pub const MAX_ITEM_ATTEMPTS: u32 = 3;
/// Maximum number of connections that fail for one item. They are no runs and no retries.
const MAX_FAILED_CONNECTIONS: u32 = 3;
/// Number of attempts of an item that share calls with items of other jobs, if these calls break.
const MAX_SHARED_ATTEMPTS: u32 = MAX_ITEM_ATTEMPTS - 1;
/// Largest number of items of a job. Requests have dozens; a larger number is a malformed message.
const MAX_JOB_ITEMS: u32 = 4_096;

/// Retry delay that is returned when no retry is allowed. First attempts that arrive in the meantime
/// allow some.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Retry delay that is returned for a job that can never run.
const INVALID_JOB_PAUSE: Duration = Duration::from_secs(5);

/// Interval at which the queue is searched for overtaken jobs, which takes time for each job in it.
const OVERTAKEN_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Settings of a [`Batcher`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchingConfig {
    /// Settings of the endpoints' circuits. A single reset or refused connection opens a circuit.
    pub circuit: CircuitConfig,
    /// An endpoint is slow if its slowness exceeds that of the fastest endpoint by this factor.
    pub slow_ratio: f64,
    /// Interval at which a slow endpoint gets a call, which shows whether it has recovered.
    pub slow_probe_interval: Duration,
    /// Timeout of a call as a multiple of its expected time.
    pub timeout_ratio: f64,
    /// Lower bound of the timeout of a call.
    pub min_timeout: Duration,
    /// Time for which an endpoint gets no calls after it had no result memory left.
    pub memory_pause: Duration,
    /// Interval at which an endpoint is asked again for its free result memory, while others than
    /// this batcher use some of it or its answer is missing.
    pub memory_ask_period: Duration,
    /// Timeout after which an endpoint gets calls although it has not reported its result memory.
    pub memory_answer_timeout: Duration,
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
            slow_probe_interval: Duration::from_secs(2),
            timeout_ratio: 3.0,
            min_timeout: Duration::from_millis(900),
            memory_pause: Duration::from_millis(100),
            memory_ask_period: Duration::from_millis(400),
            memory_answer_timeout: Duration::from_millis(60),
        }
    }
}

/// An item of a job that waits for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct QueuedItem {
    /// Number of the item within its job.
    index: u32,
    /// Number of calls that the item is part of, including the one that it waits for.
    attempts: u32,
    /// Number of connections that failed when the item was to be sent.
    failed_connections: u32,
}

/// An item that is part of a call.
#[derive(Debug, Clone, Copy)]
struct SentItem {
    job: JobId,
    item: QueuedItem,
    result_bytes: u64,
    /// Whether the item was queued again while its call goes on.
    is_resent: bool,
}

/// A job that has not ended.
#[derive(Debug)]
struct JobState {
    /// Data centre where the items of the job run: the preferred one of the job, or else that of
    /// the first item.
    data_centre: Option<DataCentreName>,
    /// Time from which an item may run in another data centre than the rest of the job.
    any_data_centre_from: Time,
    queued_at: Time,
    /// Whether an item of the job was sent. The results of a started job use memory until all its
    /// items have a result.
    is_started: bool,
    /// Whether no item of another job is sent with items of this one, because calls with them broke
    /// repeatedly.
    runs_alone: bool,
    job: Job,
    /// Items that wait for a call.
    queued: SmallVec<[QueuedItem; 8]>,
    /// Handles of the results, by item number.
    results: Vec<Option<String>>,
    missing_results: u32,
}

/// A result that takes memory at its endpoint.
#[derive(Debug)]
struct StoredResult {
    endpoint: EndpointName,
    bytes: u64,
    expires_at: Time,
}

/// A call in flight.
#[derive(Debug)]
struct RunningCall {
    endpoint: EndpointName,
    items: Vec<SentItem>,
    started_at: Time,
    /// Time that the call takes according to the configuration, in milliseconds.
    nominal_ms: f64,
    /// Result memory that is reserved for the results of the call.
    reserved_bytes: u64,
    role: Role,
    /// Whether the call has no answer after its timeout. It no longer takes a slot then.
    is_overdue: bool,
}

/// Queue of items and state of the endpoints of one service.
#[derive(Debug)]
pub struct Batcher {
    config: BatchingConfig,
    limits: BatchLimits,
    queue: JobQueue,
    jobs: HashMap<JobId, JobState>,
    endpoints: HashMap<EndpointName, EndpointState>,
    /// Results of this batcher's calls that were not freed yet, by handle.
    results: HashMap<String, StoredResult>,
    running: HashMap<u64, RunningCall>,
    last_batch_id: u64,
    retries: RetryWindow,
    overtaken_checked_at: Time,
}

impl Batcher {
    /// Creates a batcher with an empty queue. `retries` limits how many jobs have items that are sent
    /// again.
    pub fn new(config: BatchingConfig, limits: BatchLimits, retries: RetryWindowConfig) -> Self {
        Self {
            config,
            limits,
            queue: JobQueue::default(),
            jobs: HashMap::new(),
            endpoints: HashMap::new(),
            results: HashMap::new(),
            running: HashMap::new(),
            last_batch_id: 0,
            retries: RetryWindow::new(retries),
            overtaken_checked_at: Time::ZERO,
        }
    }

    /// Replaces the limits with those of a newer configuration.
    pub fn set_limits(&mut self, limits: BatchLimits) {
        self.limits = limits;
    }

    /// Returns the number of queued items.
    pub fn waiting(&self) -> usize {
        self.queue.items()
    }

    /// Returns the load of the queue: how long an item that arrives now waits until it runs, and the
    /// rate at which `usable` endpoints run items.
    pub fn load(&self, now: Time, usable: &[Arc<Endpoint>]) -> GroupLoad {
        let endpoints = self.working_endpoints(now, usable);
        let own_ms = self.nominal_ms(1);
        let wait = self.expected_wait(now, endpoints, 1);
        let full_ms = self.nominal_ms(self.limits.max_batch_items);
        let full_calls_per_s = (endpoints as f64) * 1_000.0 / full_ms.max(1.0);
        GroupLoad {
            wait: wait.saturating_sub(Duration::from_secs_f64(own_ms / 1_000.0)),
            items_per_s: full_calls_per_s * self.limits.max_batch_items as f64,
        }
    }

    /// Ends the jobs with queued items when no endpoint is left for them.
    pub fn evict(&mut self) -> Vec<JobEnd> {
        let ids = self.queue.in_order(Time::ZERO);
        let ids: Vec<JobId> = ids.collect();
        let evict = |id| {
            let may_have_run = self.jobs.get(&id)?.is_started;
            self.fail_job(id, ItemFailure::NoEndpoint { may_have_run })
        };
        ids.into_iter().filter_map(evict).collect()
    }

    /// Ends the jobs of which no item has been sent, so that another owner of the group can run them.
    pub fn evict_unstarted(&mut self) -> Vec<JobEnd> {
        let jobs = self.jobs.iter();
        let unstarted = jobs.filter(|(_, job)| !job.is_started);
        let ids: Vec<JobId> = unstarted.map(|(id, _)| *id).collect();
        let may_have_run = false;
        let evict = |id| self.fail_job(id, ItemFailure::NoEndpoint { may_have_run });
        ids.into_iter().filter_map(evict).collect()
    }

    /// Returns the number of endpoints that work: those without an open circuit.
    pub fn working_endpoints(&self, now: Time, usable: &[Arc<Endpoint>]) -> usize {
        let works = |endpoint: &&Arc<Endpoint>| {
            let state = self.endpoints.get(&endpoint.id);
            state.is_none_or(|state| state.circuit.allows(now) || !state.circuit.is_open())
        };
        usable.iter().filter(works).count()
    }

    /// Estimates the time until `items` items that arrive now have run, if `endpoints` endpoints
    /// share the work.
    pub fn expected_wait(&self, now: Time, endpoints: usize, items: usize) -> Duration {
        let endpoints = endpoints.max(1) as f64;
        let full_ms = self.nominal_ms(self.limits.max_batch_items);
        let ahead = self.queue.items() + items;
        let calls = (ahead as f64 / self.limits.max_batch_items as f64).ceil();
        let running_ms: f64 = self
            .running
            .values()
            .map(|call| (call.nominal_ms - now.since(call.started_at).as_millis() as f64).max(0.0))
            .sum();
        let own_ms = self.nominal_ms(items.min(self.limits.max_batch_items));
        let ahead_ms = ((calls - 1.0).max(0.0) * full_ms + running_ms) / endpoints;
        Duration::from_secs_f64((ahead_ms + own_ms) / 1_000.0)
    }

    /// Adds a job, unless it is expected to end after its deadline, is a retry that the retry budget
    /// does not allow, or has no plausible number of items.
    ///
    /// # Errors
    ///
    /// Returns the time after which to try again: the estimate until the queue is short enough, or
    /// a fixed pause if no retry is allowed.
    pub fn push(&mut self, now: Time, endpoints: usize, job: Job) -> Result<(), Duration> {
        if !(1..=MAX_JOB_ITEMS).contains(&job.items) {
            return Err(INVALID_JOB_PAUSE);
        }
        let wait = self.expected_wait(now, endpoints, job.items as usize);
        if now + wait > job.deadline {
            let excess = (now + wait).since(job.deadline);
            return Err(excess.max(Duration::from_millis(100)));
        }
        if job.is_retry {
            if !self.retries.take(now, 1) {
                return Err(RETRY_PAUSE);
            }
        } else {
            self.retries.on_first_attempt(now);
        }
        let call_time = self.half_batch_time();
        let any_data_centre_from = (now + call_time).min(job.due - call_time * 2).max(now);
        let items = (0..job.items).map(|index| QueuedItem {
            index,
            attempts: 1,
            failed_connections: 0,
        });
        let state = JobState {
            queued: items.collect(),
            results: vec![None; job.items as usize],
            missing_results: job.items,
            data_centre: job.preferred_data_centre.clone(),
            any_data_centre_from,
            queued_at: now,
            is_started: false,
            runs_alone: false,
            job,
        };
        self.queue.add(&state.job, false, state.queued.len());
        self.jobs.insert(state.job.id, state);
        Ok(())
    }

    /// Removes a job whose request has ended, and returns the results that it already has.
    pub fn cancel(&mut self, id: JobId) -> Vec<String> {
        self.remove_job(id).unwrap_or_default()
    }

    /// Fails the jobs that have a queued item which can no longer meet its deadline.
    pub fn expire(&mut self, now: Time) -> Vec<JobEnd> {
        let min_call_time = Duration::from_secs_f64(self.nominal_ms(1) / 1_000.0);
        let late_jobs = self.queue.with_deadline_before(now + min_call_time);
        let fail_late = |id| self.fail_job(id, ItemFailure::Late);
        late_jobs.into_iter().filter_map(fail_late).collect()
    }

    /// Fails the jobs that cannot begin in time because of the items ahead of them, so that their requests are
    /// refused at once. Jobs that came later and are more urgent may have overtaken them since they were
    /// added.
    ///
    /// The estimate assumes full calls that take their configured time at all `endpoints`, so that no job fails
    /// which could end in time. Jobs that have begun stay, since work was done for them.
    pub fn fail_overtaken(&mut self, now: Time, endpoints: usize) -> Vec<JobEnd> {
        let parallel_calls = endpoints.max(1) * self.limits.slots as usize;
        let batch_items = self.limits.max_batch_items;
        let is_checked = now.since(self.overtaken_checked_at) < OVERTAKEN_CHECK_INTERVAL;
        if is_checked || self.queue.items() <= parallel_calls * batch_items {
            return Vec::new();
        }
        self.overtaken_checked_at = now;
        let mut items_ahead = 0;
        let mut overtaken = Vec::new();
        for id in self.job_order(now) {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let items = state.queued.len();
            let rounds = items_ahead / (parallel_calls * batch_items);
            let wait_ms = rounds as f64 * self.nominal_ms(batch_items);
            let own_ms = self.nominal_ms(items.min(batch_items));
            let end = now + Duration::from_secs_f64((wait_ms + own_ms) / 1_000.0);
            if end > state.job.deadline && !state.is_started {
                overtaken.push((id, end.since(state.job.deadline)));
            } else {
                items_ahead += items;
            }
        }
        let fail = |(id, excess)| self.fail_job(id, ItemFailure::Overtaken(excess));
        overtaken.into_iter().filter_map(fail).collect()
    }

    /// Returns the endpoints that must be asked for their free result memory before they get calls,
    /// and notes that they were asked.
    pub fn ask_for_memory(&mut self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        if self.queue.items() == 0 {
            return Vec::new();
        }
        let mut to_ask = Vec::new();
        for endpoint in usable {
            let state = self.endpoints.entry(endpoint.id.clone()).or_default();
            if state.should_ask_for_memory(now, &self.config) {
                if state.others_bytes() == 0 {
                    state.memory = ResultMemory::Asked(now);
                } else {
                    state.memory = ResultMemory::UsedByOthers(state.others_bytes(), now);
                }
                to_ask.push(Arc::clone(endpoint));
            }
        }
        to_ask
    }

    /// Records the free result memory that an endpoint reports; `None` if it reports none, which
    /// counts as no memory used by others.
    pub fn on_memory_report(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        free_bytes: Option<u64>,
    ) {
        let total_bytes = self.limits.result_memory_bytes;
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.memory = ResultMemory::UsedByOthers(0, now);
        let own_bytes = state.used_bytes();
        let others_bytes = free_bytes.map_or(0, |free| {
            total_bytes.saturating_sub(free.saturating_add(own_bytes))
        });
        state.memory = ResultMemory::UsedByOthers(others_bytes, now);
    }

    /// Returns the next call to make, if an endpoint is free and items wait.
    pub fn next_batch(&mut self, now: Time, usable: &[Arc<Endpoint>]) -> Option<Batch> {
        let (endpoint, items) =
            self.free_endpoints(now, usable)
                .into_iter()
                .find_map(|endpoint| {
                    let items = self.take_items(now, &endpoint);
                    (!items.is_empty()).then_some((endpoint, items))
                })?;
        let waits = self.start_jobs(now, &items);
        let nominal_ms = self.nominal_ms(items.len());
        let reserved_bytes = items.iter().map(|item| item.result_bytes).sum();
        let state = self.endpoints.entry(endpoint.id.clone()).or_default();
        state.calls += 1;
        state.reserved_bytes += reserved_bytes;
        state.last_call_at = now;
        let used_bytes = state.used_bytes();
        let role = state.circuit.on_start();
        let slowness = state.slowness.max(1.0);
        self.last_batch_id += 1;
        let id = self.last_batch_id;
        let specs = items.iter().filter_map(|item| self.item_spec(*item));
        let specs = specs.collect();
        let timeout_ms = nominal_ms * slowness.min(2.0) * self.config.timeout_ratio;
        let call = RunningCall {
            endpoint: endpoint.id.clone(),
            items,
            started_at: now,
            nominal_ms,
            reserved_bytes,
            role,
            is_overdue: false,
        };
        self.running.insert(id, call);
        Some(Batch {
            id,
            endpoint,
            items: specs,
            timeout: Duration::from_secs_f64(timeout_ms / 1_000.0).max(self.config.min_timeout),
            waits,
            used_bytes,
        })
    }

    /// Queues the items of a call again that has no answer after its timeout, as far as they may be
    /// retried and another endpoint takes calls. The call itself goes on, because a sound endpoint may
    /// be silent for a while and then answer; whichever result of an item comes first is used. Returns
    /// whether all items that are still needed were queued again.
    pub fn resend_overdue(&mut self, now: Time, id: u64, usable: &[Arc<Endpoint>]) -> bool {
        // Taken out so that the items can be queued while the call is changed.
        let Some(mut call) = self.running.remove(&id) else {
            return true;
        };
        if !call.is_overdue {
            self.record_call_outcome(now, &call, &Err(BatchFailure::Broken));
            self.separate_jobs(&call.items);
            call.is_overdue = true;
        }
        let takes_calls = |endpoint: &Arc<Endpoint>| {
            let state = self.endpoints.get(&endpoint.id);
            endpoint.id != call.endpoint && state.is_none_or(|state| state.circuit.allows(now))
        };
        let has_other = usable.iter().any(takes_calls);
        let mut retried: Option<(JobId, bool)> = None;
        let mut is_done = true;
        for sent in &mut call.items {
            if sent.is_resent || !self.is_needed(*sent) {
                continue;
            }
            // The items of a job that are overdue together are one retry of the job.
            let may_retry = match retried {
                Some((job, may_retry)) if job == sent.job => {
                    may_retry && sent.item.attempts < MAX_ITEM_ATTEMPTS
                }
                _ => has_other && self.may_retry(now, *sent, true),
            };
            retried = Some((sent.job, may_retry));
            sent.is_resent = may_retry && self.queue_again(*sent);
            is_done &= sent.is_resent;
        }
        self.running.insert(id, call);
        is_done
    }

    /// Records the outcome of a call. Returns the jobs that ended with it, and the results that
    /// nobody waits for, such as those of jobs that ended before.
    pub fn finish(
        &mut self,
        now: Time,
        id: u64,
        outcome: Result<Vec<Result<String, ItemFailure>>, BatchFailure>,
    ) -> (Vec<JobEnd>, Vec<String>) {
        let Some(call) = self.running.remove(&id) else {
            return (Vec::new(), Vec::new());
        };
        if !call.is_overdue {
            self.record_call_outcome(now, &call, &outcome);
            if outcome == Err(BatchFailure::Broken) {
                self.separate_jobs(&call.items);
            }
        } else if outcome.is_ok() {
            // The time says how long the endpoint was silent, not how fast it is.
            let state = self.endpoints.entry(call.endpoint.clone()).or_default();
            state.circuit.on_success();
        }
        let is_unsent = outcome == Err(BatchFailure::NotSent);
        let outcomes = outcome.unwrap_or_else(|_| vec![Err(ItemFailure::Failed); call.items.len()]);
        let mut ends = Vec::new();
        let mut orphans = Vec::new();
        // The items of a job that fail together are one retry of the job.
        let mut retried = None;
        for (item, outcome) in call.items.into_iter().zip(outcomes) {
            match outcome {
                Ok(handle) => {
                    self.record_result(now, &call.endpoint, &handle, item.result_bytes);
                    match self.store_result(item, handle) {
                        Ok(end) => ends.extend(end),
                        Err(orphan) => orphans.push(orphan),
                    }
                }
                Err(_) if is_unsent => ends.extend(self.queue_unsent(now, item)),
                Err(failure) => {
                    let is_first = retried.replace(item.job) != Some(item.job);
                    ends.extend(self.retry_or_fail(now, item, failure, is_first));
                }
            }
        }
        (ends, orphans)
    }

    /// Records that a result was freed. Returns whether this batcher knew the result.
    pub fn on_freed(&mut self, handle: &str) -> bool {
        let Some(result) = self.results.remove(handle) else {
            return false;
        };
        release(&mut self.endpoints, &result);
        true
    }

    /// Removes results that have expired and endpoints that are no longer usable and have neither
    /// calls nor results.
    pub fn sweep(&mut self, now: Time, usable: &[Arc<Endpoint>]) {
        let endpoints = &mut self.endpoints;
        self.results.retain(|_, result| {
            let is_stored = now < result.expires_at;
            if !is_stored {
                release(endpoints, result);
            }
            is_stored
        });
        let usable: HashSet<&EndpointName> = usable.iter().map(|endpoint| &endpoint.id).collect();
        endpoints
            .retain(|id, state| state.calls > 0 || state.stored_results > 0 || usable.contains(id));
    }

    /// Returns the time of a call with `items` items according to the configuration.
    fn nominal_ms(&self, items: usize) -> f64 {
        self.limits.call_overhead_ms + self.limits.item_ms * items as f64
    }

    /// Returns an item of a call with the deadline of its job.
    fn item_spec(&self, sent: SentItem) -> Option<(ItemSpec, Time)> {
        let job = &self.jobs.get(&sent.job)?.job;
        let spec = ItemSpec {
            request: Arc::clone(&job.request),
            stage: job.stage,
            index: sent.item.index,
            input: job.input.clone(),
        };
        Some((spec, job.deadline))
    }

    /// Updates the state of the endpoint of a call that ended.
    fn record_call_outcome(
        &mut self,
        now: Time,
        call: &RunningCall,
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
                    state.slowness * (1.0 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT
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

    /// Counts a result towards the memory that its endpoint uses, until the result expires.
    fn record_result(&mut self, now: Time, endpoint: &EndpointName, handle: &str, bytes: u64) {
        let result = StoredResult {
            endpoint: endpoint.clone(),
            bytes,
            expires_at: now + self.limits.result_ttl,
        };
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.stored_results += 1;
        state.stored_bytes += bytes;
        if let Some(replaced) = self.results.insert(handle.to_owned(), result) {
            release(&mut self.endpoints, &replaced);
        }
    }

    /// Stores the result of an item in its job. Returns the end of the job if this was its last
    /// missing result.
    ///
    /// # Errors
    ///
    /// Returns the result itself if its job has ended or the item already has a result.
    fn store_result(&mut self, sent: SentItem, handle: String) -> Result<Option<JobEnd>, String> {
        let Some(state) = self.jobs.get_mut(&sent.job) else {
            return Err(handle);
        };
        let result = &mut state.results[sent.item.index as usize];
        if result.is_some() {
            return Err(handle);
        }
        *result = Some(handle);
        state.missing_results -= 1;
        let queued_before = state.queued.len();
        state.queued.retain(|item| item.index != sent.item.index);
        let unneeded = queued_before - state.queued.len();
        if unneeded > 0 {
            let is_last = state.queued.is_empty();
            self.queue.remove(&state.job, unneeded, is_last);
        }
        if state.missing_results > 0 {
            return Ok(None);
        }
        let Some(state) = self.jobs.remove(&sent.job) else {
            return Ok(None);
        };
        let unused_inputs = match state.job.input {
            ItemInput::Handles(handles) if state.job.reads_inputs_last => Some(handles),
            _ => None,
        };
        Ok(Some(JobEnd {
            id: state.job.id,
            results: Ok(state.results.into_iter().flatten().collect()),
            orphans: Vec::new(),
            unused_inputs,
        }))
    }

    /// Lets jobs whose calls broke repeatedly run alone from now on: one of them may crash each endpoint
    /// that runs it, and would take the others with it.
    fn separate_jobs(&mut self, broken: &[SentItem]) {
        for sent in broken {
            if sent.item.attempts >= MAX_SHARED_ATTEMPTS
                && let Some(state) = self.jobs.get_mut(&sent.job)
            {
                state.runs_alone = true;
            }
        }
    }

    /// Queues an item again if another attempt can succeed and is allowed; otherwise fails the job of
    /// the item, unless another call may still bring its result. `is_first` says that no other item of the
    /// job failed in the same call before.
    fn retry_or_fail(
        &mut self,
        now: Time,
        sent: SentItem,
        failure: ItemFailure,
        is_first: bool,
    ) -> Option<JobEnd> {
        if !self.is_needed(sent) {
            return None;
        }
        let can_succeed = matches!(failure, ItemFailure::Failed | ItemFailure::NoRoom);
        let may_retry = can_succeed && !sent.is_resent && self.may_retry(now, sent, is_first);
        if (may_retry && self.queue_again(sent)) || self.is_pending(sent) {
            return None;
        }
        self.fail_job(sent.job, failure)
    }

    /// Queues an item again that was not sent, because its endpoint could not be reached. Fails its job
    /// when too many connections have failed or no time is left.
    fn queue_unsent(&mut self, now: Time, sent: SentItem) -> Option<JobEnd> {
        let failed_connections = sent.item.failed_connections + 1;
        let may_resend = failed_connections < MAX_FAILED_CONNECTIONS && self.has_time(now, sent);
        let item = QueuedItem {
            failed_connections,
            ..sent.item
        };
        if !self.is_needed(sent)
            || (may_resend && self.queue_item(sent.job, item))
            || self.is_pending(sent)
        {
            return None;
        }
        self.fail_job(sent.job, ItemFailure::Failed)
    }

    /// Returns whether the job of an item still waits for the result of the item.
    fn is_needed(&self, sent: SentItem) -> bool {
        let job = self.jobs.get(&sent.job);
        job.is_some_and(|state| state.results[sent.item.index as usize].is_none())
    }

    /// Returns whether an item waits for a call or is part of one.
    fn is_pending(&self, sent: SentItem) -> bool {
        let is_queued = self.jobs.get(&sent.job).is_some_and(|state| {
            let mut queued = state.queued.iter();
            queued.any(|item| item.index == sent.item.index)
        });
        let mut running = self.running.values().flat_map(|call| &call.items);
        is_queued
            || running.any(|other| other.job == sent.job && other.item.index == sent.item.index)
    }

    /// Returns whether an item may be sent once more. `is_first` says that no other item of its job was
    /// retried for the same call before; the retry is counted then.
    fn may_retry(&mut self, now: Time, sent: SentItem, is_first: bool) -> bool {
        self.has_time(now, sent)
            && match is_first {
                true => self.retries.take(now, sent.item.attempts),
                false => sent.item.attempts < MAX_ITEM_ATTEMPTS,
            }
    }

    /// Returns whether a call that starts now can end before the deadline of an item.
    fn has_time(&self, now: Time, sent: SentItem) -> bool {
        let min_call_time = Duration::from_secs_f64(self.nominal_ms(1) / 1_000.0);
        let job = self.jobs.get(&sent.job);
        job.is_some_and(|state| now + min_call_time <= state.job.deadline)
    }

    /// Queues an item for another attempt. Returns whether its job still exists.
    fn queue_again(&mut self, sent: SentItem) -> bool {
        let item = QueuedItem {
            attempts: sent.item.attempts + 1,
            ..sent.item
        };
        self.queue_item(sent.job, item)
    }

    /// Queues an item of a job that was taken out of the queue. Returns whether the job still exists.
    fn queue_item(&mut self, job: JobId, item: QueuedItem) -> bool {
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        state.queued.push(item);
        self.queue.add(&state.job, state.is_started, 1);
        true
    }

    /// Ends a job with a failure; returns nothing if the job has already ended.
    fn fail_job(&mut self, id: JobId, failure: ItemFailure) -> Option<JobEnd> {
        Some(JobEnd {
            id,
            results: Err(failure),
            orphans: self.remove_job(id)?,
            unused_inputs: None,
        })
    }

    /// Removes a job and its queued items, and returns the results that it already has.
    fn remove_job(&mut self, id: JobId) -> Option<Vec<String>> {
        let state = self.jobs.remove(&id)?;
        self.queue.remove(&state.job, state.queued.len(), true);
        Some(state.results.into_iter().flatten().collect())
    }
}

/// Gives back the memory of a result that its endpoint no longer holds.
fn release(endpoints: &mut HashMap<EndpointName, EndpointState>, result: &StoredResult) {
    if let Some(state) = endpoints.get_mut(&result.endpoint) {
        state.stored_results -= 1;
        state.stored_bytes -= result.bytes;
    }
}
