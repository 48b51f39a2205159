//! Decides which jobs a queue takes, and ends those that can no longer be served.

use std::sync::Arc;
use std::time::Duration;

use crate::decisions::batching::{Batcher, ItemFailure, Job, JobEnd, JobId, JobState, QueuedItem};
use crate::decisions::group_choice::GroupLoad;
use crate::decisions::work_order::Lane;
use crate::fleet::model::Endpoint;
use crate::units::Time;

/// Largest number of items of a job. Requests have dozens; a larger number is a malformed message.
const MAX_JOB_ITEMS: u32 = 4_096;

/// Retry delay that is returned when no retry is allowed. First attempts that arrive in the meantime
/// allow some.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Retry delay that is returned for a job that can never run.
const INVALID_JOB_PAUSE: Duration = Duration::from_secs(5);
/// Lower bound of the retry delay that follows the length of the queue.
const MIN_QUEUE_PAUSE: Duration = Duration::from_millis(100);

/// Largest fraction of the endpoints' work that more urgent arrivals are assumed to take. Their rate
/// changes faster than the queue, so less urgent jobs are not refused by it alone.
const MAX_URGENT_FRACTION: f64 = 0.5;
/// Interval at which the queue is searched for jobs that cannot end in time.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

impl Batcher {
    /// Returns the load of the queue: how long an item that arrives now waits until it runs, and the
    /// rate at which `usable` endpoints run items.
    pub fn load(&self, now: Time, usable: &[Arc<Endpoint>]) -> GroupLoad {
        let endpoints = self.working_endpoints(now, usable);
        let own_ms = self.nominal_ms(1);
        let wait = self.expected_wait(now, endpoints, 1);
        GroupLoad {
            wait: wait.saturating_sub(Duration::from_secs_f64(own_ms / 1_000.0)),
            items_per_s: self.full_items_per_s(endpoints),
        }
    }

    /// Returns the number of endpoints that work: those without an open circuit.
    pub fn working_endpoints(&self, now: Time, usable: &[Arc<Endpoint>]) -> usize {
        let works = |endpoint: &&Arc<Endpoint>| {
            let state = self.endpoints.get(&endpoint.id);
            state.is_none_or(|state| state.circuit.allows(now) || !state.circuit.is_open())
        };
        usable.iter().filter(works).count()
    }

    /// Estimates the time until `items` items that arrive now have run after all that wait, if
    /// `endpoints` endpoints share the work.
    pub fn expected_wait(&self, now: Time, endpoints: usize, items: usize) -> Duration {
        self.wait_behind(
            self.running_ms(now),
            endpoints,
            self.queue.items(),
            items,
            1.0,
        )
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
        let is_backlogged = self.is_backlogged(endpoints);
        let full_items_per_s = self.full_items_per_s(endpoints.max(1));
        let lane = self.shares.on_arrival(
            now,
            &job.urgency,
            &job.request,
            job.items,
            is_backlogged,
            full_items_per_s,
        );
        let wait = self.wait_in_lane(now, endpoints, lane, job.items as usize);
        if now + wait > job.deadline {
            let excess = (now + wait).since(job.deadline);
            return Err(excess.max(MIN_QUEUE_PAUSE));
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
            lane,
            job,
        };
        self.queue.add(state.place(), false, state.queued.len());
        self.jobs.insert(state.job.id, state);
        Ok(())
    }

    /// Fails the jobs that have a queued item which can no longer meet its deadline.
    pub fn expire(&mut self, now: Time) -> Vec<JobEnd> {
        let min_call_time = Duration::from_secs_f64(self.nominal_ms(1) / 1_000.0);
        let late_jobs = self.queue.with_deadline_before(now + min_call_time);
        let fail_late = |id| self.fail_job(id, ItemFailure::Late);
        late_jobs.into_iter().filter_map(fail_late).collect()
    }

    /// Fails the jobs without a sent item that cannot end before their deadline, because the jobs that
    /// go before them fill the time until then. Only work that waits already counts, and calls are
    /// taken to be full and as fast as configured, so no job ends that could be served.
    pub fn refuse_overtaken(&mut self, now: Time, endpoints: usize) -> Vec<JobEnd> {
        if !self.is_backlogged(endpoints) || now.since(self.searched_at) < SEARCH_INTERVAL {
            return Vec::new();
        }
        self.searched_at = now;
        let (running_ms, mut ahead) = (self.running_ms(now), 0);
        let mut overtaken: Vec<(JobId, Duration)> = Vec::new();
        for id in self.job_order(now) {
            let Some(state) = self.jobs.get(&id) else {
                continue;
            };
            let items = state.queued.len();
            let wait = self.wait_behind(running_ms, endpoints, ahead, items, 1.0);
            if state.is_started || now + wait <= state.job.deadline {
                ahead += items;
            } else {
                overtaken.push((id, wait));
            }
        }
        let fail = |(id, wait)| self.fail_job(id, ItemFailure::Overtaken(wait));
        overtaken.into_iter().filter_map(fail).collect()
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

    /// Returns whether more items wait than one full call of each endpoint takes.
    fn is_backlogged(&self, endpoints: usize) -> bool {
        self.queue.items() > endpoints.max(1) * self.limits.max_batch_items
    }

    /// Returns the number of items a second that endpoints run with full calls.
    fn full_items_per_s(&self, endpoints: usize) -> f64 {
        let full_ms = self.nominal_ms(self.limits.max_batch_items);
        endpoints as f64 * 1_000.0 / full_ms.max(1.0) * self.limits.max_batch_items as f64
    }

    /// Estimates the time until items that arrive now in a lane have run.
    fn wait_in_lane(&self, now: Time, endpoints: usize, lane: Lane, items: usize) -> Duration {
        let urgent_fraction = match self.is_backlogged(endpoints) {
            true => {
                self.shares.more_urgent_per_s(now, lane)
                    / self.full_items_per_s(endpoints.max(1)).max(1.0)
            }
            false => 0.0,
        };
        let fraction = 1.0 - urgent_fraction.min(MAX_URGENT_FRACTION);
        let ahead = self.queue.items_up_to(lane);
        self.wait_behind(self.running_ms(now), endpoints, ahead, items, fraction)
    }

    /// Estimates the time until `items` items have run after the calls in flight, which still take
    /// `running_ms`, and `ahead` items, if these have a `fraction` of the work of `endpoints` endpoints.
    fn wait_behind(
        &self,
        running_ms: f64,
        endpoints: usize,
        ahead: usize,
        items: usize,
        fraction: f64,
    ) -> Duration {
        let endpoints = endpoints.max(1) as f64;
        let full_ms = self.nominal_ms(self.limits.max_batch_items);
        let calls = ((ahead + items) as f64 / self.limits.max_batch_items as f64).ceil();
        let own_ms = self.nominal_ms(items.min(self.limits.max_batch_items));
        let ahead_ms = (calls - 1.0).max(0.0) * full_ms / fraction;
        let ahead_ms = (ahead_ms + running_ms) / endpoints;
        Duration::from_secs_f64((ahead_ms + own_ms) / 1_000.0)
    }

    /// Returns the time that the calls in flight still take, added up.
    fn running_ms(&self, now: Time) -> f64 {
        let running = self.running.values();
        running
            .map(|call| (call.nominal_ms - now.since(call.started_at).as_millis() as f64).max(0.0))
            .sum()
    }
}
