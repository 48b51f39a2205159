//! Which items run next, and at which endpoint.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::{Batcher, Item, ItemInput, Job, JobId};
use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Steps of speed that are told apart for each multiple of the nominal time.
const SPEED_STEPS: f64 = 4.0;

impl Batcher {
    /// Puts the jobs first that have begun, since their results use memory and lapse; then those
    /// that can still be on time; then by their time.
    pub(super) fn sort_queue(&mut self, now: Time) {
        // Batches are full while items wait.
        let full = Duration::from_secs_f64(self.nominal_ms(self.limits.batch) / 1_000.0);
        let jobs = &self.jobs;
        self.queue.sort_by_cached_key(|item| {
            let is_started = jobs.get(&item.job).is_some_and(|state| state.is_started);
            let is_late = now + full > item.due;
            (!is_started, is_late, item.due, item.job, item.index)
        });
    }

    /// Returns the inputs of the jobs that have no item left in the queue. Endpoints fetch inputs
    /// when a call begins, and their memory limits the stage before.
    pub(super) fn last_inputs(&self, taken: &[Item]) -> Vec<Arc<[String]>> {
        let mut jobs: SmallVec<[JobId; 8]> = taken.iter().map(|item| item.job).collect();
        jobs.sort();
        jobs.dedup();
        jobs.retain(|job| !self.queue.iter().any(|item| item.job == *job));
        let input = |job: JobId| match &self.jobs.get(&job)?.job {
            Job {
                reads_inputs_last: true,
                input: ItemInput::Handles(handles),
                ..
            } => Some(Arc::clone(handles)),
            _ => None,
        };
        jobs.into_iter().filter_map(input).collect()
    }

    /// Returns the time of a call that is half full.
    pub(super) fn usual_time(&self) -> Duration {
        Duration::from_secs_f64(self.nominal_ms(self.limits.batch / 2) / 1_000.0)
    }

    /// Returns the endpoints that may take a call: fast ones with free memory first, and among them
    /// one where the first item belongs. A slow one gets a call only now and then.
    pub(super) fn free_endpoints(&self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        let state = |endpoint: &Endpoint| self.endpoints.get(&endpoint.id);
        let slowness =
            |endpoint: &Endpoint| state(endpoint).map_or(0.0, |state| state.slowness).max(0.5);
        let fastest = usable
            .iter()
            .map(|endpoint| slowness(endpoint))
            .fold(f64::INFINITY, f64::min);
        let slow_from = fastest * self.config.slow_ratio;
        let is_free = |endpoint: &&Arc<Endpoint>| {
            let Some(state) = state(endpoint) else {
                return false;
            };
            let is_slow = slowness(endpoint) > slow_from;
            let waits_for_memory = match state.memory {
                ResultMemory::Unknown => true,
                ResultMemory::Asked(at) => now.since(at) < self.config.memory_answer,
                ResultMemory::Taken(..) => false,
            };
            !waits_for_memory
                && state.calls < self.limits.slots
                && state.circuit.allows(now)
                && now >= state.paused_until
                && (!is_slow || now.since(state.last_call_at) >= self.config.slow_retry)
        };
        let used = |endpoint: &Endpoint| state(endpoint).map_or(0, EndpointState::used_bytes);
        let is_first_away = |endpoint: &Endpoint| {
            let first = self.queue.first();
            first.is_some_and(|first| self.is_away(first, endpoint))
        };
        let mut free: Vec<Arc<Endpoint>> = usable.iter().filter(is_free).cloned().collect();
        free.sort_by_cached_key(|endpoint| {
            let speed = (slowness(endpoint) * SPEED_STEPS).round() as u64;
            (is_first_away(endpoint), speed, used(endpoint))
        });
        free
    }

    /// Returns whether an endpoint stands elsewhere than the rest of an item's job.
    fn is_away(&self, item: &Item, endpoint: &Endpoint) -> bool {
        let chosen = self
            .jobs
            .get(&item.job)
            .and_then(|state| state.data_centre.as_ref());
        chosen.is_some_and(|chosen| *chosen != endpoint.data_centre)
    }

    /// Takes the items to run from the sorted queue: those that can still be on time first,
    /// then by their time. The items of a job stay in one data centre, since the next stage
    /// reads all their results, unless that makes them late.
    pub(super) fn take_items(&mut self, now: Time, endpoint: &Endpoint) -> Vec<Item> {
        let used = self
            .endpoints
            .get(&endpoint.id)
            .map_or(0, EndpointState::used_bytes);
        let mut free_bytes = self.limits.result_memory_bytes.saturating_sub(used);
        let mut taken = Vec::new();
        let mut left = Vec::with_capacity(self.queue.len());
        for item in std::mem::take(&mut self.queue) {
            let fits = taken.len() < self.limits.batch && item.result_bytes <= free_bytes;
            let may_run = now >= item.strays_at || !self.is_away(&item, endpoint);
            if fits && may_run {
                free_bytes -= item.result_bytes;
                taken.push(item);
            } else {
                left.push(item);
            }
        }
        self.queue = left;
        taken
    }
}
