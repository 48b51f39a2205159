//! Runs the stages of a streaming request before its generation.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use tokio::time::sleep;

use crate::clock;
use crate::decisions::batching::{ItemInput, Job, JobId};
use crate::decisions::stage_start::{Progress, StageState, start_times};
use crate::fleet::admission::AdmittedRequest;
use crate::fleet::attempts::{Attempts, choose, generation_work};
use crate::fleet::dispatcher::{JobFailure, data_centre_of};
use crate::fleet::metric;
use crate::fleet::model::{Route, RouteStage};
use crate::fleet::node::Node;
use crate::fleet::stage_jobs::{free_results, run_job};
use crate::fleet::view::FleetView;
use crate::units::{DataCentreName, ServiceName, Time};

/// Estimate of the time from the start of a generation to its first event, without the time for
/// reading the prompt.
const GENERATION_START_MS: f64 = 60.0;
/// Estimate of the prompt tokens that an engine reads in a millisecond while it runs other requests
/// too.
const PROMPT_TOKENS_PER_MS: f64 = 30.0;
/// Fraction of a full batch that is assumed for the typical time of a call.
const TYPICAL_BATCH_FRACTION: f64 = 0.5;

/// Fraction of the time to live of its inputs within which a stage has to have read them.
const INPUTS_TTL_FRACTION: f64 = 0.85;

/// Results of the stages of a request. Results that were not freed before are freed on drop.
pub struct StageResults {
    node: Arc<Node>,
    by_stage: Vec<Option<Vec<String>>>,
    sizes_bytes: Vec<u64>,
    last_stages: Vec<usize>,
}

impl StageResults {
    /// Returns the results that the engine reads: those of all stages whose results no other stage
    /// reads. `None` for a route without stages.
    pub fn inputs(&self) -> Option<Vec<String>> {
        if self.by_stage.is_empty() {
            return None;
        }
        let last = self.last_stages.iter();
        let handles = last.filter_map(|stage| self.by_stage[*stage].as_ref());
        Some(handles.flatten().cloned().collect())
    }

    /// Returns the data centre that stores the most bytes of the engine's inputs.
    pub fn data_centre(&self, view: &FleetView) -> Option<DataCentreName> {
        let results = self.last_stages.iter().flat_map(|stage| {
            let handles = self.by_stage[*stage].iter().flatten();
            handles.map(|handle| (handle.as_str(), self.sizes_bytes[*stage]))
        });
        data_centre_of(view, results)
    }

    /// Frees all results.
    pub fn free(&mut self) {
        for stage in 0..self.by_stage.len() {
            self.free_stage(stage);
        }
    }

    fn free_stage(&mut self, stage: usize) {
        if let Some(handles) = self.by_stage[stage].take() {
            free_results(&self.node, handles);
        }
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        self.free();
    }
}

/// Why the stages of a request have no results.
#[derive(Debug)]
pub enum StageFailure {
    /// The job of a stage failed.
    Job(JobFailure),
    /// The results would come too late for an answer before this VM stops.
    VmStops,
}

/// Runs all stages of a request and starts each at the time that [`start_times`] gives. The caller needs an
/// event by `event_by`, so a stage whose result would come too late for that is not run.
///
/// # Errors
///
/// Returns why a stage has no results. The request itself has not been sent to an engine then.
pub async fn run_stages(
    node: &Arc<Node>,
    admitted: &Arc<AdmittedRequest>,
    event_by: Time,
    is_retry: bool,
) -> Result<StageResults, StageFailure> {
    let route = &admitted.route;
    let count = route.stages.len();
    let mut results = StageResults {
        node: Arc::clone(node),
        by_stage: vec![None; count],
        sizes_bytes: route
            .stages
            .iter()
            .map(|stage| stage.result_bytes)
            .collect(),
        last_stages: (0..count)
            .filter(|stage| !has_followers(route, *stage))
            .collect(),
    };
    let mut running = FuturesUnordered::new();
    let initial_progress = |stage| match item_count(admitted, stage) {
        0 => Progress::Done,
        _ => Progress::Waiting,
    };
    let mut progress: Vec<Progress> = (0..count).map(initial_progress).collect();
    loop {
        let now = clock::now();
        let starts = start_times(now, &stage_states(node, admitted, &progress));
        for (stage, start) in starts.iter().enumerate() {
            if start.is_some_and(|start| start <= now) {
                progress[stage] = Progress::Running(now);
                let input = stage_input(admitted, stage, &results);
                running.push(run_stage(node, admitted, event_by, stage, input, is_retry));
            }
        }
        let next_start = starts.iter().flatten().filter(|start| **start > now).min();
        let next_start = next_start.map(|start| start.since(now));
        let ended = tokio::select! {
            ended = running.next(), if !running.is_empty() => ended,
            () = sleep(next_start.unwrap_or_default()), if next_start.is_some() => continue,
            else => None,
        };
        let Some((stage, outcome)) = ended else {
            return Ok(results);
        };
        results.by_stage[stage] = Some(outcome?);
        progress[stage] = Progress::Done;
        for predecessor in &route.stages[stage].after {
            let followers_done = (0..count).all(|other| {
                let reads = route.stages[other].after.contains(predecessor);
                !reads || progress[other] == Progress::Done
            });
            if followers_done {
                results.free_stage(*predecessor);
            }
        }
    }
}

/// Returns how many items a stage has for a request. A stage with 0 items is skipped.
fn item_count(admitted: &AdmittedRequest, stage: usize) -> u32 {
    admitted
        .caller
        .stage_item_counts
        .get(stage)
        .copied()
        .unwrap_or(0)
}

/// Returns the state of each stage for [`start_times`]. The expected times follow the recent times
/// of the services.
fn stage_states<'a>(
    node: &Node,
    admitted: &'a AdmittedRequest,
    progress: &[Progress],
) -> Vec<StageState<'a>> {
    let (view, now) = (node.view(), clock::now());
    let times = node.stage_times.lock();
    let stages = admitted.route.stages.iter().zip(progress);
    let state = |(stage, progress): (&'a RouteStage, &Progress)| {
        let typical_call_ms = typical_call_ms(&view, &stage.service);
        let expected_ms = times.expected_ms(now, &stage.service, typical_call_ms);
        StageState {
            after: &stage.after,
            expected: Duration::from_secs_f64(expected_ms / 1_000.0),
            progress: *progress,
        }
    };
    stages.map(state).collect()
}

/// Returns what the items of a stage read: the key of the request for a stage without predecessors,
/// otherwise the results of its predecessors.
fn stage_input(admitted: &AdmittedRequest, stage: usize, results: &StageResults) -> ItemInput {
    let after = &admitted.route.stages[stage].after;
    if after.is_empty() {
        let key = admitted.caller.stage_key.as_deref().unwrap_or_default();
        return ItemInput::Key(Arc::from(key));
    }
    let handles = after
        .iter()
        .filter_map(|predecessor| results.by_stage.get(*predecessor)?.as_ref())
        .flatten()
        .cloned();
    ItemInput::Handles(handles.collect::<Vec<_>>().into())
}

/// Runs one stage of a request, and records its time for later estimates.
async fn run_stage(
    node: &Arc<Node>,
    admitted: &Arc<AdmittedRequest>,
    event_by: Time,
    stage: usize,
    input: ItemInput,
    is_retry: bool,
) -> (usize, Result<Vec<String>, StageFailure>) {
    let items = item_count(admitted, stage);
    let view = node.view();
    let now = clock::now();
    let min_remaining =
        time_to_first_event(admitted, &view, stage, |_, typical_call_ms| typical_call_ms);
    let expected_remaining =
        time_to_first_event(admitted, &view, stage, |service, typical_call_ms| {
            let times = node.stage_times.lock();
            times.expected_ms(now, service, typical_call_ms)
        });
    let route_stage = &admitted.route.stages[stage];
    // The time to live of the inputs began when they were made, which was now at the latest.
    let inputs_ttl = route_stage
        .after
        .iter()
        .filter_map(|predecessor| view.batch_limits(&admitted.route.stages[*predecessor].service))
        .map(|limits| limits.result_ttl)
        .min();
    let inputs_expire_at = inputs_ttl.map(|ttl| now + ttl.mul_f64(INPUTS_TTL_FRACTION));
    let deadline = event_by - min_remaining;
    let due = admitted.due - expected_remaining;
    let is_read_by_engine = route_stage.after.is_empty() && !has_followers(&admitted.route, stage);
    let job = Job {
        id: JobId(0),
        request: Arc::from(admitted.caller.id.as_str()),
        stage,
        items,
        input,
        due,
        deadline: inputs_expire_at.map_or(deadline, |expires_at| deadline.min(expires_at)),
        result_bytes: route_stage.result_bytes,
        is_retry,
        preferred_data_centre: is_read_by_engine
            .then(|| engine_data_centre(node, admitted))
            .flatten(),
        reads_inputs_last: reads_inputs_last(&admitted.route, stage),
    };
    let later_stages =
        min_remaining.saturating_sub(min_time_to_first_event(admitted.caller.prompt_tokens));
    let remaining_in_stop = || {
        let generation = node.generation_estimate(admitted, None, admitted.caller.last_event);
        later_stages.saturating_add(generation.total())
    };
    let started = now;
    let outcome = tokio::select! {
        biased;
        outcome = run_job(node, &route_stage.service, job) => outcome.map_err(StageFailure::Job),
        () = node.stop_leaves_less_than(remaining_in_stop) => Err(StageFailure::VmStops),
    };
    let ended = clock::now();
    let took = ended.since(started);
    // Late items wait behind the others, so their time says nothing about the time of an item that
    // is on time.
    if outcome.is_ok() && ended <= due {
        let mut times = node.stage_times.lock();
        times.record(ended, &route_stage.service, took);
    }
    metric::stage_ended(took);
    info!(node.logger, "request: stage ended"; "id" => &admitted.caller.id, "stage" => stage,
        "service" => %route_stage.service, "items" => items, "took_ms" => took.as_millis() as u64,
        "failure" => outcome.as_ref().err().map(|failure| format!("{failure:?}")));
    (stage, outcome)
}

/// Returns whether another stage reads the results of this stage.
fn has_followers(route: &Route, stage: usize) -> bool {
    route
        .stages
        .iter()
        .any(|other| other.after.contains(&stage))
}

/// Returns the data centre of the engine that the request would be sent to now. A stage whose
/// results only the engine reads should run there, because such results are large. The choice of
/// the engine rarely changes until the stage has ended.
fn engine_data_centre(node: &Node, admitted: &AdmittedRequest) -> Option<DataCentreName> {
    let work = generation_work(node, admitted, &node.settings.data_centre);
    let endpoint = choose(node, admitted, &Attempts::default(), work)?;
    Some(endpoint.data_centre.clone())
}

/// Returns whether no other stage reads the inputs of this stage.
fn reads_inputs_last(route: &Route, stage: usize) -> bool {
    let readers = |predecessor: &usize| {
        let stages = route.stages.iter();
        stages
            .filter(|other| other.after.contains(predecessor))
            .count()
    };
    let after = &route.stages[stage].after;
    after.iter().all(|predecessor| readers(predecessor) == 1)
}

/// Returns the time of a partly full call to a service, from the service's configured call and item
/// times, in milliseconds. 0 for a service without batching.
fn typical_call_ms(view: &FleetView, service: &ServiceName) -> f64 {
    view.batch_limits(service).map_or(0.0, |limits| {
        limits.call_overhead_ms
            + limits.item_ms * limits.max_batch_items as f64 * TYPICAL_BATCH_FRACTION
    })
}

/// Returns the expected time from the end of a stage to the first event of the generation.
/// `expected_ms` gives the time of a stage from its service and the typical time of a call, in
/// milliseconds.
fn time_to_first_event(
    admitted: &AdmittedRequest,
    view: &FleetView,
    stage: usize,
    expected_ms: impl Fn(&ServiceName, f64) -> f64,
) -> Duration {
    let expected_stage_ms = |stage: usize| {
        let service = &admitted.route.stages[stage].service;
        expected_ms(service, typical_call_ms(view, service))
    };
    let mut ms = 0.0;
    let mut current = stage;
    // A stage only reads stages with lower numbers, so the loop ends.
    while let Some(next) = (current + 1..admitted.route.stages.len())
        .find(|next| admitted.route.stages[*next].after.contains(&current))
    {
        ms += expected_stage_ms(next);
        current = next;
    }
    Duration::from_secs_f64(ms / 1_000.0) + min_time_to_first_event(admitted.caller.prompt_tokens)
}

/// Returns the estimate of the time from the send of a request to its first event, for an engine that begins it at
/// once.
pub fn min_time_to_first_event(prompt_tokens: u32) -> Duration {
    let ms = GENERATION_START_MS + f64::from(prompt_tokens) / PROMPT_TOKENS_PER_MS;
    Duration::from_secs_f64(ms / 1_000.0)
}
