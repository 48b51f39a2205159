//! Groups stage items into batches for the endpoints of one service.
//!
//! Each call has a fixed cost in addition to the cost of its items, so a service reaches its full
//! throughput only with full batches. One VM batches for the whole fleet (`docs/platform.md`,
//! "Stages"): items wait while all endpoints are busy, and an endpoint that becomes free takes as
//! many items as fit. This handles bursts that exceed the capacity of unbatched calls.

mod admission;
mod endpoint;
mod job;
mod memory;
mod queue;
mod selection;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use job::{
    Batch, BatchFailure, ItemFailure, ItemInput, ItemSpec, Job, JobEnd, JobId, endpoint_address,
};

use smallvec::SmallVec;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::queue::{JobQueue, Place};
use crate::decisions::circuit::{CircuitConfig, Role};
use crate::decisions::retry_window::{RetryWindow, RetryWindowConfig};
use crate::decisions::work_order::{Lane, WorkShares};
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
    /// Position among the jobs that wait.
    lane: Lane,
    job: Job,
    /// Items that wait for a call.
    queued: SmallVec<[QueuedItem; 8]>,
    /// Handles of the results, by item number.
    results: Vec<Option<String>>,
    missing_results: u32,
}

impl JobState {
    /// Returns the place of the job in the queue.
    fn place(&self) -> Place {
        Place {
            id: self.job.id,
            lane: self.lane,
            priority: self.job.urgency.priority,
            due: self.job.due,
            deadline: self.job.deadline,
        }
    }
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
    shares: WorkShares,
    /// When the queue was last searched for jobs that cannot end in time.
    searched_at: Time,
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
            shares: WorkShares::default(),
            searched_at: Time::ZERO,
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

    /// Returns the number of queued items by priority; `None` for those without a priority.
    pub fn waiting_by_priority(&self) -> impl Iterator<Item = (Option<u8>, usize)> {
        self.queue.items_by_priority()
    }

    /// Removes a job whose request has ended, and returns the results that it already has.
    pub fn cancel(&mut self, id: JobId) -> Vec<String> {
        self.remove_job(id).unwrap_or_default()
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
        self.shares.on_run(now, items.len());
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
            self.queue.remove(state.place(), unneeded, is_last);
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
        self.queue.add(state.place(), state.is_started, 1);
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
        self.queue.remove(state.place(), state.queued.len(), true);
        Some(state.results.into_iter().flatten().collect())
    }
}
