//! Runs the stage items of the groups of endpoints that this VM owns: one queue with a [`Batcher`]
//! for each group, and the calls to endpoints that the batchers decide on.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::batching::{
    Batch, BatchFailure, Batcher, BatchingConfig, ItemFailure, Job, JobEnd, JobId,
    MAX_ITEM_ATTEMPTS, endpoint_address,
};
use crate::decisions::group_choice::{GroupLoad, GroupLoads};
use crate::decisions::retry_window::RetryWindowConfig;
use crate::decisions::stage_groups::{GroupId, StageGroup};
use crate::fleet::endpoint_client::{call, read_body};
use crate::fleet::metric;
use crate::fleet::model::Endpoint;
use crate::fleet::notices::NoticeBoard;
use crate::fleet::supervise::supervise;
use crate::fleet::view::FleetView;
use crate::platform::endpoint_call::{ResponseClass, classify_stage, stage_headers};
use crate::platform::stage_call::{
    FREE_PATH, REPORT_PATH, RUN_PATH, decode_free_bytes, decode_run, encode_free, encode_run,
};
use crate::traffic::Execution;
use crate::units::{DataCentreName, EndpointName, ServiceName, Time};

/// Maximum interval between two rounds of a queue that has waiting items, while all endpoints are
/// busy, paused or have an open circuit. A finished call starts the next round sooner.
const MAX_QUEUE_INTERVAL: Duration = Duration::from_millis(40);
/// Delay before results are freed, so that one call frees all results collected meanwhile.
const FREE_DELAY: Duration = Duration::from_millis(5);
/// Timeout of a call that frees results at an endpoint.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a call that asks an endpoint for its free result memory.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of VMs that may run queues of a service beside the owners of its groups, because they
/// disagree on who owns them.
const DISAGREEING_OWNERS: usize = 2;
/// Interval between two attempts to send the items of a call elsewhere that has no answer in time.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a queue forgets results that have expired and endpoints that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why a stage job has no results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobFailure {
    /// The queue is too long for the deadline of the job. Holds the time after which the queue is
    /// expected to be short enough.
    Overloaded(Duration),
    /// An item of the job failed.
    Item(ItemFailure),
    /// The job is to run in another group, whose queue is shorter.
    Moved(GroupId),
}

impl JobFailure {
    /// The group has no usable endpoint, and the job has not run.
    pub const NO_ENDPOINT: Self = Self::Item(ItemFailure::NoEndpoint {
        may_have_run: false,
    });
}

/// Channels on which the requests that wait for jobs receive the results.
type ResultSenders = HashMap<JobId, oneshot::Sender<Result<Vec<String>, ItemFailure>>>;

/// Queue of one group.
struct GroupQueue {
    batcher: Mutex<Batcher>,
    result_senders: Mutex<ResultSenders>,
    wake: Notify,
    /// Whether the task that runs the queue has been started.
    is_started: AtomicBool,
}

impl GroupQueue {
    /// Adds a job, unless it cannot end in time.
    fn push(&self, usable: &[Arc<Endpoint>], job: Job) -> Result<(), Duration> {
        let now = clock::now();
        let mut batcher = self.batcher.lock();
        let endpoints = batcher.working_endpoints(now, usable);
        batcher.push(now, endpoints, job)
    }
}

/// The queues of this VM, one for each group of endpoints that it owns or has owned.
pub struct BatchDispatcher {
    logger: Logger,
    notices: Arc<NoticeBoard>,
    view: watch::Receiver<Arc<FleetView>>,
    queues: Mutex<HashMap<GroupId, Arc<GroupQueue>>>,
    /// Loads of the groups of other owners.
    loads: Mutex<GroupLoads>,
    handles_to_free: Mutex<HashMap<std::net::SocketAddr, Vec<String>>>,
    free_wake: Notify,
    next_job_id: AtomicU64,
    retries: RetryWindowConfig,
    unused_inputs: mpsc::UnboundedSender<Vec<String>>,
}

/// Cancels a job when it is dropped before the job has ended, because the caller has left.
struct JobGuard {
    dispatcher: Arc<BatchDispatcher>,
    queue: Arc<GroupQueue>,
    id: JobId,
    request: Arc<str>,
    queued_at: Time,
    is_done: bool,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let waited = clock::now().since(self.queued_at);
        info!(self.dispatcher.logger, "stages: a stage job was cancelled"; "id" => &*self.request,
            "waited_ms" => waited.as_millis() as u64);
        self.queue.result_senders.lock().remove(&self.id);
        let results = self.queue.batcher.lock().cancel(self.id);
        self.dispatcher.free(results);
    }
}

impl BatchDispatcher {
    /// Starts without queues. `unused_inputs` receives the results that nothing reads any more, so
    /// that the VMs that batch for their services free them.
    pub fn new(
        logger: Logger,
        notices: Arc<NoticeBoard>,
        view: watch::Receiver<Arc<FleetView>>,
        retries: RetryWindowConfig,
        unused_inputs: mpsc::UnboundedSender<Vec<String>>,
    ) -> Arc<Self> {
        let dispatcher = Arc::new(Self {
            logger,
            notices,
            view,
            queues: Mutex::default(),
            loads: Mutex::default(),
            handles_to_free: Mutex::default(),
            free_wake: Notify::new(),
            next_job_id: AtomicU64::new(0),
            retries,
            unused_inputs,
        });
        let freeing = Arc::clone(&dispatcher);
        let start = move || free_results(Arc::clone(&freeing));
        tokio::spawn(supervise(dispatcher.logger.clone(), "results", start));
        dispatcher
    }

    /// Runs the items of a job in the queue of a group and returns the handles of their results. If
    /// only some of its items have results, these are freed. With `may_move`, a job that would wait
    /// less in another group is turned away with the id of that group.
    ///
    /// # Errors
    ///
    /// Returns why the job has no results.
    pub async fn run(
        self: &Arc<Self>,
        group: &GroupId,
        mut job: Job,
        may_move: bool,
    ) -> Result<Vec<String>, JobFailure> {
        let view = Arc::clone(&self.view.borrow());
        let usable = view.stage_groups.get(group).map(|group| &*group.usable);
        let usable = usable.filter(|usable| !usable.is_empty());
        let usable = usable.ok_or(JobFailure::NO_ENDPOINT)?;
        let staying = self.notices.staying(usable);
        if staying.is_empty() {
            return Err(JobFailure::NO_ENDPOINT);
        }
        if let Some(pause) = self.notices.pause(usable)
            && clock::now() + pause >= job.deadline
        {
            metric::job_turned_away("paused");
            return Err(JobFailure::Overloaded(pause));
        }
        let queue = self.queue(&view, group).ok_or(JobFailure::NO_ENDPOINT)?;
        if may_move && let Some(target) = self.shorter_group(&view, group, &queue, job.items) {
            metric::job_turned_away("moved");
            return Err(JobFailure::Moved(target));
        }
        job.id = JobId(self.next_job_id.fetch_add(1, Ordering::Relaxed));
        let id = job.id;
        let request = Arc::clone(&job.request);
        let (stage, items, priority) = (job.stage, job.items, job.urgency.priority);
        if group.data_centre.is_some() {
            // All endpoints of the group are in one data centre.
            job.preferred_data_centre = None;
        }
        let (sender, receiver) = oneshot::channel();
        queue.result_senders.lock().insert(id, sender);
        let pushed = queue.push(&staying, job);
        let mut guard = JobGuard {
            dispatcher: Arc::clone(self),
            queue: Arc::clone(&queue),
            id,
            request: Arc::clone(&request),
            queued_at: clock::now(),
            is_done: false,
        };
        if let Err(excess) = pushed {
            guard.is_done = true;
            queue.result_senders.lock().remove(&id);
            metric::job_turned_away("overloaded");
            metric::job_refused_early(priority);
            info!(self.logger, "stages: refused, the queue is too long"; "id" => &*request,
                "group" => %group, "priority" => priority,
                "waiting" => queue.batcher.lock().waiting(),
                "excess_ms" => excess.as_millis() as u64);
            return Err(JobFailure::Overloaded(excess));
        }
        queue.wake.notify_one();
        let result = receiver.await.unwrap_or(Err(ItemFailure::Failed));
        guard.is_done = true;
        if let Err(failure) = &result {
            info!(self.logger, "stages: a stage job ended without results";
                "id" => &*request, "group" => %group,
                "stage" => stage, "items" => items, "priority" => priority,
                "failure" => format!("{failure:?}"));
        }
        result.map_err(|failure| match failure {
            ItemFailure::Overtaken(wait) => {
                metric::job_refused_early(priority);
                JobFailure::Overloaded(wait)
            }
            failure => JobFailure::Item(failure),
        })
    }

    /// Ends the jobs that have not begun as if their groups had no endpoint, since this VM stops.
    pub fn hand_over(&self) {
        let queues: Vec<_> = self.queues.lock().values().cloned().collect();
        for queue in queues {
            let evicted = queue.batcher.lock().evict_unstarted();
            end_jobs(self, &queue, evicted);
        }
    }

    /// Records the load that the owner of another group reports.
    pub fn record_load(&self, group: GroupId, load: GroupLoad) {
        self.loads.lock().record(clock::now(), group, load);
    }

    /// Returns the load of a group, for a report to the owners of the other groups of its service.
    /// `None` for a service without batching.
    pub fn load(&self, view: &FleetView, group: &StageGroup) -> Option<GroupLoad> {
        let now = clock::now();
        let queue = self.queues.lock().get(&group.id).cloned();
        if let Some(queue) = queue {
            return Some(queue.batcher.lock().load(now, &group.usable));
        }
        let batcher = self.new_batcher(view, &group.id.service)?;
        Some(batcher.load(now, &group.usable))
    }

    /// Returns the group of the same service in which a job would wait less, if there is one.
    fn shorter_group(
        &self,
        view: &FleetView,
        group: &GroupId,
        queue: &GroupQueue,
        items: u32,
    ) -> Option<GroupId> {
        let now = clock::now();
        let usable = &view.stage_groups.get(group)?.usable;
        let own_wait = queue.batcher.lock().load(now, usable).wait;
        let others = view.stage_groups.of_service(&group.service).iter();
        let others = others.filter(|other| other.id != *group && !other.usable.is_empty());
        let mut loads = self.loads.lock();
        loads.shorter(now, own_wait, others.map(|other| &other.id), items)
    }

    /// Frees results after a short delay, with one call for each endpoint.
    pub fn free(&self, handles: impl IntoIterator<Item = String>) {
        let mut handles_to_free = self.handles_to_free.lock();
        for handle in handles {
            if let Some(address) = endpoint_address(&handle) {
                handles_to_free.entry(address).or_default().push(handle);
            }
        }
        if !handles_to_free.is_empty() {
            self.free_wake.notify_one();
        }
    }

    /// Records that an endpoint has freed results. The memory may allow the next batch to start, so
    /// the queues whose results these are run their next round.
    fn on_freed(&self, handles: &[String]) {
        for queue in self.queues.lock().values() {
            let mut batcher = queue.batcher.lock();
            let freed = handles
                .iter()
                .filter(|handle| batcher.on_freed(handle))
                .count();
            if freed > 0 {
                queue.wake.notify_one();
            }
        }
    }

    /// Returns the queue of a group with the current limits, and starts it at its first use.
    fn queue(self: &Arc<Self>, view: &FleetView, group: &GroupId) -> Option<Arc<GroupQueue>> {
        let limits = view.batch_limits(&group.service)?;
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(group) {
            queue.batcher.lock().set_limits(limits);
            return Some(Arc::clone(queue));
        }
        let queue = Arc::new(GroupQueue {
            batcher: Mutex::new(self.new_batcher(view, &group.service)?),
            result_senders: Mutex::default(),
            wake: Notify::new(),
            is_started: AtomicBool::new(false),
        });
        queues.insert(group.clone(), Arc::clone(&queue));
        let (dispatcher, group) = (Arc::clone(self), group.clone());
        let (logger, started) = (self.logger.clone(), Arc::clone(&queue));
        let start = move || {
            let (dispatcher, queue) = (Arc::clone(&dispatcher), Arc::clone(&started));
            run_queue(dispatcher, group.clone(), queue)
        };
        tokio::spawn(supervise(logger, "stage queue", start));
        Some(queue)
    }

    /// Creates the empty queue of a group of a service. The reserve of retries of the service is
    /// divided among the VMs that may run queues of it.
    fn new_batcher(&self, view: &FleetView, service: &ServiceName) -> Option<Batcher> {
        let groups = view.stage_groups.of_service(service).len();
        let retries = RetryWindowConfig {
            // A request may have two stages at one service.
            ratio: self.retries.ratio / 2.0,
            reserve: self.retries.reserve / (groups + DISAGREEING_OWNERS) as f64,
            window: self.retries.window,
            max_attempts: MAX_ITEM_ATTEMPTS,
        };
        let limits = view.batch_limits(service)?;
        Some(Batcher::new(BatchingConfig::default(), limits, retries))
    }
}

/// Returns the data centre that stores the most bytes of the given results.
pub fn data_centre_of<'a>(
    view: &FleetView,
    results: impl Iterator<Item = (&'a str, u64)>,
) -> Option<DataCentreName> {
    let mut sizes: BTreeMap<DataCentreName, u64> = BTreeMap::new();
    for (handle, bytes) in results {
        let endpoint = endpoint_address(handle).and_then(|address| view.endpoint_at(address));
        if let Some(endpoint) = endpoint {
            *sizes.entry(endpoint.data_centre.clone()).or_default() += bytes;
        }
    }
    let largest = sizes.into_iter().max_by_key(|(_, bytes)| *bytes);
    largest.map(|(name, _)| name)
}

/// Runs the queue of a group: starts a call whenever an endpoint is free and items wait, and ends
/// jobs that cannot meet their deadline.
async fn run_queue(dispatcher: Arc<BatchDispatcher>, id: GroupId, queue: Arc<GroupQueue>) {
    if queue.is_started.swap(true, Ordering::Relaxed) {
        // The task failed before, perhaps in the middle of a change of the queue.
        let view = Arc::clone(&dispatcher.view.borrow());
        if let Some(batcher) = dispatcher.new_batcher(&view, &id.service) {
            *queue.batcher.lock() = batcher;
        }
        queue.result_senders.lock().clear();
    }
    let mut swept_at = clock::now();
    loop {
        let now = clock::now();
        let view = Arc::clone(&dispatcher.view.borrow());
        let group = view.stage_groups.get(&id);
        let usable = group.map_or(&[][..], |group| &group.usable);
        if dispatcher.notices.staying(usable).is_empty() {
            let evicted = queue.batcher.lock().evict();
            end_jobs(&dispatcher, &queue, evicted);
        }
        if now.since(swept_at) >= SWEEP_INTERVAL {
            swept_at = now;
            let mut batcher = queue.batcher.lock();
            batcher.sweep(now, usable);
            metric::items_waiting(&id, batcher.waiting_by_priority());
        }
        let (expired, overtaken) = {
            let mut batcher = queue.batcher.lock();
            (
                batcher.expire(now),
                batcher.refuse_overtaken(now, usable.len()),
            )
        };
        end_jobs(&dispatcher, &queue, expired);
        end_jobs(&dispatcher, &queue, overtaken);
        let open = dispatcher.notices.open(usable);
        let endpoints_to_ask = queue.batcher.lock().ask_for_memory(now, &open);
        for endpoint in endpoints_to_ask {
            tokio::spawn(ask_for_memory(
                Arc::clone(&dispatcher),
                Arc::clone(&queue),
                endpoint,
            ));
        }
        loop {
            let batch = queue.batcher.lock().next_batch(now, &open);
            let Some(batch) = batch else { break };
            metric::batch_sent(batch.items.len());
            batch.waits.iter().copied().for_each(metric::job_waited);
            tokio::spawn(run_batch(
                Arc::clone(&dispatcher),
                id.clone(),
                Arc::clone(&queue),
                batch,
            ));
        }
        let is_idle = {
            let batcher = queue.batcher.lock();
            let is_idle = batcher.waiting() == 0;
            if is_idle {
                metric::items_waiting(&id, batcher.waiting_by_priority());
            }
            is_idle
        };
        if is_idle {
            queue.wake.notified().await;
        } else {
            // The timeout is needed for endpoints whose pause has ended and for items that have
            // become late: nothing wakes the queue for these.
            let _ = timeout(MAX_QUEUE_INTERVAL, queue.wake.notified()).await;
        }
    }
}

/// Asks an endpoint how much memory it has free for results.
async fn ask_for_memory(
    dispatcher: Arc<BatchDispatcher>,
    queue: Arc<GroupQueue>,
    endpoint: Arc<Endpoint>,
) {
    let report = timeout(MEMORY_TIMEOUT, read_report(&dispatcher, &endpoint)).await;
    let report = report.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let free_bytes = report
        .inspect_err(|error| {
            info!(dispatcher.logger, "stages: asking for free result memory failed";
                "endpoint" => %endpoint.id, "error" => error);
        })
        .ok()
        .and_then(|report| decode_free_bytes(&report));
    info!(dispatcher.logger, "stages: free result memory updated"; "endpoint" => %endpoint.id,
        "service" => %endpoint.service, "free_bytes" => free_bytes);
    queue
        .batcher
        .lock()
        .on_memory_report(clock::now(), &endpoint.id, free_bytes);
    queue.wake.notify_one();
}

/// Reads the report of a stage endpoint.
async fn read_report(dispatcher: &BatchDispatcher, endpoint: &Endpoint) -> Result<Bytes, String> {
    let mut request = stage_request(&endpoint.id, REPORT_PATH, endpoint.address, Vec::new());
    *request.method_mut() = Method::GET;
    let response = call(endpoint.address, request)
        .await
        .map_err(|failure| failure.message)?;
    let (status, headers) = (response.status(), response.headers());
    dispatcher.notices.read(endpoint, status, headers);
    match status {
        StatusCode::OK => read_body(response.into_body())
            .await
            .map_err(|failure| failure.message),
        status => Err(format!("the endpoint answered {status}")),
    }
}

/// Makes the call of a batch and passes its results to the jobs.
async fn run_batch(
    dispatcher: Arc<BatchDispatcher>,
    group: GroupId,
    queue: Arc<GroupQueue>,
    batch: Batch,
) {
    let started = clock::now();
    let count = batch.items.len();
    let outcome = {
        let deadlines = batch.items.iter().map(|(_, deadline)| *deadline);
        let time_left = deadlines.max().unwrap_or(started).since(started);
        let call = AssertUnwindSafe(call_batch(&dispatcher, &batch)).catch_unwind();
        let resend = async {
            resend_overdue(&dispatcher, &group, &queue, &batch).await;
            std::future::pending::<Infallible>().await
        };
        tokio::select! {
            outcome = timeout(time_left, call) => outcome,
            never = resend => match never {},
        }
    };
    let broken = |message: String| Err((BatchFailure::Broken, message));
    let outcome = match outcome {
        Ok(Ok(outcome)) => outcome,
        // Without an outcome, the jobs would wait until the deadline and the slot would stay taken.
        Ok(Err(_)) => broken("the call panicked".to_owned()),
        Err(_) => broken("no answer to the batch until the deadline".to_owned()),
    };
    let took_ms = clock::now().since(started).as_millis() as u64;
    match &outcome {
        Ok(items) => {
            let failed = items.iter().filter(|item| item.is_err()).count();
            let no_room = items
                .iter()
                .filter(|item| **item == Err(ItemFailure::NoRoom))
                .count();
            let input_gone = items
                .iter()
                .filter(|item| **item == Err(ItemFailure::InputGone))
                .count();
            info!(dispatcher.logger, "stages: a batch ran"; "group" => %group,
                "endpoint" => %batch.endpoint.id, "items" => count, "failed" => failed,
                "no_room" => no_room, "input_gone" => input_gone,
                "waiting" => queue.batcher.lock().waiting(), "used_bytes" => batch.used_bytes,
                "took_ms" => took_ms);
        }
        Err((failure, message)) => {
            warn!(dispatcher.logger, "stages: a batch failed"; "group" => %group,
                "endpoint" => %batch.endpoint.id, "items" => count, "took_ms" => took_ms,
                "failure" => format!("{failure:?}"), "error" => message);
        }
    }
    let outcome = outcome.map_err(|(failure, _)| failure);
    let (ends, orphans) = queue.batcher.lock().finish(clock::now(), batch.id, outcome);
    dispatcher.free(orphans);
    end_jobs(&dispatcher, &queue, ends);
    queue.wake.notify_one();
}

/// Lets the items of a batch run at other endpoints as well while its own one is silent for longer than
/// a call takes.
async fn resend_overdue(
    dispatcher: &BatchDispatcher,
    group: &GroupId,
    queue: &GroupQueue,
    batch: &Batch,
) {
    sleep(batch.timeout).await;
    info!(dispatcher.logger, "stages: a batch is overdue"; "group" => %group,
        "endpoint" => %batch.endpoint.id, "items" => batch.items.len());
    loop {
        let view = Arc::clone(&dispatcher.view.borrow());
        let group = view.stage_groups.get(group);
        let open = dispatcher
            .notices
            .open(group.map_or(&[][..], |group| &group.usable));
        let is_done = queue
            .batcher
            .lock()
            .resend_overdue(clock::now(), batch.id, &open);
        queue.wake.notify_one();
        if is_done {
            return;
        }
        sleep(RESEND_INTERVAL).await;
    }
}

/// Sends the results of ended jobs to the requests that wait for them, and frees those that no
/// request reads.
fn end_jobs(dispatcher: &BatchDispatcher, queue: &GroupQueue, ends: Vec<JobEnd>) {
    for end in ends {
        dispatcher.free(end.orphans);
        if let Some(inputs) = end.unused_inputs {
            // The send fails only when the VM stops; the results then expire by themselves.
            let _ = dispatcher.unused_inputs.send(inputs.to_vec());
        }
        let Some(result_sender) = queue.result_senders.lock().remove(&end.id) else {
            continue;
        };
        if let Err(Ok(unused)) = result_sender.send(end.results) {
            dispatcher.free(unused);
        }
    }
}

/// Calls the endpoint of a batch and returns the outcome of each item. The error carries a message
/// for the log.
async fn call_batch(
    dispatcher: &BatchDispatcher,
    batch: &Batch,
) -> Result<Vec<Result<String, ItemFailure>>, (BatchFailure, String)> {
    let now = clock::now();
    let items = batch.items.iter();
    let body =
        encode_run(items.map(|(item, deadline)| (item, deadline.since(now).as_millis() as u64)));
    let refused = |message: String| (BatchFailure::Refused, message);
    let broken = |message: String| (BatchFailure::Broken, message);
    let endpoint = &batch.endpoint;
    let request = stage_request(&endpoint.id, RUN_PATH, endpoint.address, body);
    let response = call(endpoint.address, request).await.map_err(|failure| {
        let kind = match failure.ran {
            Execution::NotRun => BatchFailure::NotSent,
            Execution::MayHaveRun => BatchFailure::Broken,
        };
        (kind, failure.message)
    })?;
    let status = response.status();
    dispatcher
        .notices
        .read(endpoint, status, response.headers());
    match classify_stage(status, response.headers()) {
        ResponseClass::Answer => {}
        ResponseClass::NotRun | ResponseClass::OtherEndpoint => {
            return Err(refused(format!("the endpoint answered {status}")));
        }
        ResponseClass::UnconfirmedRefusal | ResponseClass::Invalid => {
            return Err(broken(format!("the endpoint answered {status}")));
        }
    }
    let body = read_body(response.into_body())
        .await
        .map_err(|failure| broken(failure.message))?;
    decode_run(&body, batch.items.len()).map_err(|error| broken(format!("{error:#}")))
}

fn stage_request(
    endpoint: &EndpointName,
    path: &'static str,
    address: std::net::SocketAddr,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    metric::stage_call_sent(path, body.len());
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = stage_headers(endpoint);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}

/// Frees the collected results at the endpoints that store them.
async fn free_results(dispatcher: Arc<BatchDispatcher>) {
    loop {
        dispatcher.free_wake.notified().await;
        sleep(FREE_DELAY).await;
        let handles_to_free = std::mem::take(&mut *dispatcher.handles_to_free.lock());
        for (address, handles) in handles_to_free {
            let view = Arc::clone(&dispatcher.view.borrow());
            // An endpoint that is gone has lost its results.
            let Some(endpoint) = view.endpoint_at(address) else {
                continue;
            };
            let (endpoint, logger) = (Arc::clone(endpoint), dispatcher.logger.clone());
            let dispatcher = Arc::clone(&dispatcher);
            if let Some(pause) = dispatcher.notices.pause(std::slice::from_ref(&endpoint)) {
                tokio::spawn(async move {
                    sleep(pause).await;
                    dispatcher.free(handles);
                });
                continue;
            }
            tokio::spawn(async move {
                let count = handles.len();
                let call = free_at_endpoint(&dispatcher, &endpoint, &handles);
                let freed = timeout(FREE_TIMEOUT, call).await;
                let error = match freed {
                    Ok(Ok(())) => return dispatcher.on_freed(&handles),
                    Ok(Err(error)) => error,
                    Err(_) => "no answer in time".to_owned(),
                };
                // Not retried: the endpoint drops results by itself after their time to live.
                warn!(logger, "stages: results were not freed"; "endpoint" => %endpoint.id,
                    "results" => count, "error" => error);
            });
        }
    }
}

/// Frees results at one endpoint.
async fn free_at_endpoint(
    dispatcher: &BatchDispatcher,
    endpoint: &Endpoint,
    handles: &[String],
) -> Result<(), String> {
    let address = endpoint.address;
    let request = stage_request(&endpoint.id, FREE_PATH, address, encode_free(handles));
    let response = call(address, request)
        .await
        .map_err(|failure| failure.message)?;
    let (status, headers) = (response.status(), response.headers());
    dispatcher.notices.read(endpoint, status, headers);
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(format!("the endpoint answered {status}")),
    }
}
