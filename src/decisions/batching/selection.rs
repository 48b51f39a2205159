//! Selects the items that run next and the endpoint that runs them.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::{Batcher, Item, ItemInput, Job, JobId};
use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Steps per unit of slowness to which the slowness is rounded when endpoints are compared.
const SLOWNESS_STEPS: f64 = 4.0;

impl Batcher {
    /// Sorts the queue: jobs that have started come first, since their results use memory and
    /// expire, then jobs that can still be on time. Within each group, the earlier due
    /// time comes first.
    pub(super) fn sort_queue(&mut self, now: Time) {
        // Batches are full while items wait, so the time of a full batch is used.
        let full_batch_time =
            Duration::from_secs_f64(self.nominal_ms(self.limits.max_batch_items) / 1_000.0);
        let jobs = &self.jobs;
        self.queue.sort_by_cached_key(|item| {
            let is_started = jobs.get(&item.job).is_some_and(|state| state.is_started);
            let is_late = now + full_batch_time > item.due;
            (!is_started, is_late, item.due, item.job, item.index)
        });
    }

    /// Returns the inputs of those jobs of the selected items that have no item left in the queue
    /// and are the last to read their inputs. Endpoints fetch the inputs when a call begins, so the
    /// inputs can be freed then; the memory that they use limits the preceding stage.
    pub(super) fn last_inputs(&self, selected: &[Item]) -> Vec<Arc<[String]>> {
        let mut jobs: SmallVec<[JobId; 8]> = selected.iter().map(|item| item.job).collect();
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

    /// Returns the configured time of a call with half a batch.
    pub(super) fn half_batch_time(&self) -> Duration {
        Duration::from_secs_f64(self.nominal_ms(self.limits.max_batch_items / 2) / 1_000.0)
    }

    /// Returns the endpoints that can take a call. Endpoints in the data centre of the first item's
    /// job come first, then faster ones, then those with less used memory. A slow endpoint is
    /// returned only once per `slow_probe_interval`.
    pub(super) fn free_endpoints(&self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        let state = |endpoint: &Endpoint| self.endpoints.get(&endpoint.id);
        let slowness =
            |endpoint: &Endpoint| state(endpoint).map_or(0.0, |state| state.slowness).max(0.5);
        let lowest_slowness = usable
            .iter()
            .map(|endpoint| slowness(endpoint))
            .fold(f64::INFINITY, f64::min);
        let slow_threshold = lowest_slowness * self.config.slow_ratio;
        let is_free = |endpoint: &&Arc<Endpoint>| {
            let Some(state) = state(endpoint) else {
                return false;
            };
            let is_slow = slowness(endpoint) > slow_threshold;
            let waits_for_memory = match state.memory {
                ResultMemory::Unknown => true,
                ResultMemory::Asked(at) => now.since(at) < self.config.memory_answer_timeout,
                ResultMemory::UsedByOthers(..) => false,
            };
            !waits_for_memory
                && state.calls < self.limits.slots
                && state.circuit.allows(now)
                && now >= state.paused_until
                && (!is_slow || now.since(state.last_call_at) >= self.config.slow_probe_interval)
        };
        let used_bytes = |endpoint: &Endpoint| state(endpoint).map_or(0, EndpointState::used_bytes);
        let is_remote_for_first = |endpoint: &Endpoint| {
            let first = self.queue.first();
            first.is_some_and(|first| self.is_remote_for(first, endpoint))
        };
        let mut free: Vec<Arc<Endpoint>> = usable.iter().filter(is_free).cloned().collect();
        free.sort_by_cached_key(|endpoint| {
            let steps = (slowness(endpoint) * SLOWNESS_STEPS).round() as u64;
            (is_remote_for_first(endpoint), steps, used_bytes(endpoint))
        });
        free
    }

    /// Returns whether an endpoint is in another data centre than the rest of an item's job.
    fn is_remote_for(&self, item: &Item, endpoint: &Endpoint) -> bool {
        let job_data_centre = self
            .jobs
            .get(&item.job)
            .and_then(|state| state.data_centre.as_ref());
        job_data_centre.is_some_and(|job_data_centre| *job_data_centre != endpoint.data_centre)
    }

    /// Removes the items that an endpoint is to run from the sorted queue, in the order of the
    /// queue, as far as the batch size and the free result memory allow. The items of a job stay in
    /// one data centre, since the next stage reads all their results, unless that makes them late.
    pub(super) fn take_items(&mut self, now: Time, endpoint: &Endpoint) -> Vec<Item> {
        let used_bytes = self
            .endpoints
            .get(&endpoint.id)
            .map_or(0, EndpointState::used_bytes);
        let mut free_bytes = self.limits.result_memory_bytes.saturating_sub(used_bytes);
        let mut selected = Vec::new();
        let mut remaining = Vec::with_capacity(self.queue.len());
        for item in std::mem::take(&mut self.queue) {
            let fits =
                selected.len() < self.limits.max_batch_items && item.result_bytes <= free_bytes;
            let may_run = now >= item.any_data_centre_from || !self.is_remote_for(&item, endpoint);
            if fits && may_run {
                free_bytes -= item.result_bytes;
                selected.push(item);
            } else {
                remaining.push(item);
            }
        }
        self.queue = remaining;
        selected
    }
}
