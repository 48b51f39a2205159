//! Selects the items that run next and the endpoint that runs them.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::batching::endpoint::{EndpointState, ResultMemory};
use crate::decisions::batching::{Batcher, JobId, SentItem};
use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Steps per unit of slowness to which the slowness is rounded when endpoints are compared.
const SLOWNESS_STEPS: f64 = 4.0;

impl Batcher {
    /// Returns the jobs with queued items in the order in which they run.
    pub(super) fn job_order(&self, now: Time) -> impl Iterator<Item = JobId> {
        // Batches are full while items wait, so the time of a full batch is used.
        let full_batch_time =
            Duration::from_secs_f64(self.nominal_ms(self.limits.max_batch_items) / 1_000.0);
        self.queue.in_order(now + full_batch_time)
    }

    /// Returns the configured time of a call with half a batch.
    pub(super) fn half_batch_time(&self) -> Duration {
        Duration::from_secs_f64(self.nominal_ms(self.limits.max_batch_items / 2) / 1_000.0)
    }

    /// Returns the endpoints that can take a call. Endpoints in the data centre of the first item's
    /// job come first, then faster ones, then those with less used memory. A slow endpoint is
    /// returned only once per `slow_probe_interval`.
    pub(super) fn free_endpoints(&self, now: Time, usable: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        let Some(first_job) = self.job_order(now).next() else {
            return Vec::new();
        };
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
        let mut free: Vec<Arc<Endpoint>> = usable.iter().filter(is_free).cloned().collect();
        free.sort_by_cached_key(|endpoint| {
            let steps = (slowness(endpoint) * SLOWNESS_STEPS).round() as u64;
            let is_remote = self.is_remote_for(first_job, endpoint);
            (is_remote, steps, used_bytes(endpoint))
        });
        free
    }

    /// Returns whether an endpoint is in another data centre than the rest of a job.
    fn is_remote_for(&self, job: JobId, endpoint: &Endpoint) -> bool {
        let job_data_centre = self
            .jobs
            .get(&job)
            .and_then(|state| state.data_centre.as_ref());
        job_data_centre.is_some_and(|job_data_centre| *job_data_centre != endpoint.data_centre)
    }

    /// Removes the items that an endpoint is to run from the queue, in its order, as far as the
    /// batch size and the free result memory allow. The items of a job stay in one data centre,
    /// since the next stage reads all their results, unless that makes them late.
    pub(super) fn take_items(&mut self, now: Time, endpoint: &Endpoint) -> Vec<SentItem> {
        let used_bytes = self
            .endpoints
            .get(&endpoint.id)
            .map_or(0, EndpointState::used_bytes);
        let mut free_bytes = self.limits.result_memory_bytes.saturating_sub(used_bytes);
        let mut free_places = self.limits.max_batch_items;
        let mut counts: SmallVec<[(JobId, usize); 16]> = SmallVec::new();
        for id in self.job_order(now) {
            if free_places == 0 {
                break;
            }
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            if now < state.any_data_centre_from && self.is_remote_for(id, endpoint) {
                continue;
            }
            if state.runs_alone && !counts.is_empty() {
                continue;
            }
            let runs_alone = state.runs_alone;
            let result_bytes = state.job.result_bytes;
            let fitting = free_bytes
                .checked_div(result_bytes)
                .map_or(usize::MAX, |fitting| {
                    usize::try_from(fitting).unwrap_or(usize::MAX)
                });
            let count = state.queued.len().min(free_places).min(fitting);
            if count > 0 {
                free_bytes -= result_bytes * count as u64;
                free_places -= count;
                counts.push((id, count));
                if runs_alone {
                    break;
                }
            }
        }
        let mut selected = Vec::with_capacity(self.limits.max_batch_items - free_places);
        for (id, count) in counts {
            self.send_items(id, count, endpoint, &mut selected);
        }
        selected
    }

    /// Moves the first `count` queued items of a job to `selected`.
    fn send_items(
        &mut self,
        id: JobId,
        count: usize,
        endpoint: &Endpoint,
        selected: &mut Vec<SentItem>,
    ) {
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_last = count == state.queued.len();
        self.queue.remove(state.place(), count, is_last);
        let sent = state.queued.drain(..count).map(|item| SentItem {
            job: id,
            item,
            result_bytes: state.job.result_bytes,
            is_resent: false,
        });
        selected.extend(sent);
        state
            .data_centre
            .get_or_insert(endpoint.data_centre.clone());
    }

    /// Marks the jobs of the selected items as started. Returns how long those waited that were not
    /// started before.
    pub(super) fn start_jobs(
        &mut self,
        now: Time,
        selected: &[SentItem],
    ) -> SmallVec<[Duration; 8]> {
        let mut waits = SmallVec::new();
        for item in selected {
            let Some(state) = self.jobs.get_mut(&item.job) else {
                continue;
            };
            if !state.is_started {
                state.is_started = true;
                self.queue.start(state.place(), state.queued.len());
                waits.push(now.since(state.queued_at));
            }
        }
        waits
    }
}
