//! Runs stage items for the whole fleet: queues of [`Batcher`]s and the calls they decide on.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::batching::{
    Batch, BatchFailure, Batcher, BatchingConfig, ItemFailure, ItemInput, Job, JobEnd, JobId,
    endpoint_address,
};
use crate::decisions::retry::RetryConfig;
use crate::fleet::endpoint_client::{connect, read_body};
use crate::fleet::model::{Endpoint, FleetView};
use crate::http::{Call, fetch};
use crate::platform::endpoint_call::{ResponseClass, classify_stage, stage_headers};
use crate::platform::stage_call::{
    FREE_PATH, REPORT_PATH, RUN_PATH, decode_free_bytes, decode_run, encode_free, encode_run,
};
use crate::units::{DataCentreName, EndpointName, ServiceName};

/// Pause of the queue while all endpoints are busy or in doubt; finished calls wake it sooner.
const QUEUE_TICK: Duration = Duration::from_millis(40);
/// Time for which results to free are collected, so that one call frees several.
const FREE_DELAY: Duration = Duration::from_millis(5);
/// Maximum time of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time of a call that asks for the result memory.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);
/// Dispatchers that may act for a service at the same time while VMs disagree on who does; each
/// has this part of the retries that the service may get.
const CONCURRENT_DISPATCHERS: f64 = 3.0;
/// Runs of one item, the first included.
const ITEM_ATTEMPTS: u32 = 3;
/// Time after which an endpoint has fetched the inputs of a call.
const INPUTS_FETCHED: Duration = Duration::from_millis(120);
/// Age at which the sweep of unknown results and endpoints runs.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Why a stage job has no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFailure {
    /// The queue is too long for the deadline; the time after which it is shorter.
    Overloaded(Duration),
    /// An item failed.
    Item(ItemFailure),
    /// The service is not known or has no endpoint.
    NoEndpoint,
}

type Waiting = HashMap<JobId, oneshot::Sender<Result<Vec<String>, ItemFailure>>>;

struct Queue {
    batcher: Mutex<Batcher>,
    waiting: Mutex<Waiting>,
    wake: Notify,
}

/// The queues of this VM. A service's queue is empty on all VMs but the one that batches for it.
pub struct BatchDispatcher {
    logger: Logger,
    view: watch::Receiver<Arc<FleetView>>,
    queues: Mutex<HashMap<ServiceName, Arc<Queue>>>,
    freeing: Mutex<HashMap<std::net::SocketAddr, Vec<String>>>,
    free_wake: Notify,
    jobs: AtomicU64,
    retry_ratio: f64,
    retry_reserve: f64,
    unused_inputs: mpsc::UnboundedSender<Vec<String>>,
}

/// Cancels a job whose caller has left.
struct JobGuard {
    dispatcher: Arc<BatchDispatcher>,
    queue: Arc<Queue>,
    id: JobId,
    is_done: bool,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.queue.waiting.lock().remove(&self.id);
        let results = self.queue.batcher.lock().cancel(self.id);
        self.dispatcher.free(results);
    }
}

impl BatchDispatcher {
    /// Starts without queues. `unused_inputs` gets the results that nothing reads any more; the
    /// VMs that batch for their services free them.
    pub fn new(
        logger: Logger,
        view: watch::Receiver<Arc<FleetView>>,
        retry_ratio: f64,
        retry_reserve: f64,
        unused_inputs: mpsc::UnboundedSender<Vec<String>>,
    ) -> Arc<Self> {
        let dispatcher = Arc::new(Self {
            logger,
            view,
            queues: Mutex::default(),
            freeing: Mutex::default(),
            free_wake: Notify::new(),
            jobs: AtomicU64::new(0),
            retry_ratio,
            retry_reserve,
            unused_inputs,
        });
        tokio::spawn(free_results(Arc::clone(&dispatcher)));
        dispatcher
    }

    /// Runs all items of a job and returns their results.
    ///
    /// # Errors
    ///
    /// Returns why the job has no results. Results of a part of its items are freed.
    pub async fn run(
        self: &Arc<Self>,
        service: &ServiceName,
        mut job: Job,
    ) -> Result<Vec<String>, JobFailure> {
        let queue = self.queue(service).ok_or(JobFailure::NoEndpoint)?;
        job.id = JobId(self.jobs.fetch_add(1, Ordering::Relaxed));
        let id = job.id;
        let request = Arc::clone(&job.request);
        let (stage, items) = (job.stage, job.items);
        let now = clock::now();
        let view = Arc::clone(&self.view.borrow());
        let endpoints = view.usable(service).len();
        if let ItemInput::Handles(handles) = &job.input {
            job.preferred_data_centre =
                data_centre_of(&view, handles.iter().map(|handle| (handle.as_str(), 1)));
        }
        if endpoints == 0 {
            return Err(JobFailure::NoEndpoint);
        }
        let (sender, receiver) = oneshot::channel();
        queue.waiting.lock().insert(id, sender);
        let pushed = queue.batcher.lock().push(now, endpoints, job);
        let mut guard = JobGuard {
            dispatcher: Arc::clone(self),
            queue: Arc::clone(&queue),
            id,
            is_done: false,
        };
        if let Err(excess) = pushed {
            info!(self.logger, "stages: refused, the queue is too long"; "id" => &*request,
                "service" => %service, "waiting" => queue.batcher.lock().waiting(),
                "excess_ms" => excess.as_millis() as u64);
            return Err(JobFailure::Overloaded(excess));
        }
        queue.wake.notify_one();
        let result = receiver.await.unwrap_or(Err(ItemFailure::Failed));
        guard.is_done = true;
        if let Err(failure) = &result {
            info!(self.logger, "stages: a job failed"; "id" => &*request, "service" => %service,
                "stage" => stage, "items" => items, "failure" => format!("{failure:?}"));
        }
        result.map_err(JobFailure::Item)
    }

    /// Frees results soon, several with one call.
    pub fn free(&self, handles: impl IntoIterator<Item = String>) {
        let mut freeing = self.freeing.lock();
        for handle in handles {
            if let Some(address) = endpoint_address(&handle) {
                freeing.entry(address).or_default().push(handle);
            }
        }
        if !freeing.is_empty() {
            self.free_wake.notify_one();
        }
    }

    /// Notes that an endpoint has freed results, which may let the next batch start.
    fn on_freed(&self, handles: &[String]) {
        for queue in self.queues.lock().values() {
            let mut batcher = queue.batcher.lock();
            let known = handles
                .iter()
                .filter(|handle| batcher.on_freed(handle))
                .count();
            if known > 0 {
                queue.wake.notify_one();
            }
        }
    }

    fn queue(self: &Arc<Self>, service: &ServiceName) -> Option<Arc<Queue>> {
        let view = self.view.borrow();
        let limits = view
            .configuration
            .as_ref()?
            .services
            .get(service)?
            .batching?;
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(service) {
            queue.batcher.lock().set_limits(limits);
            return Some(Arc::clone(queue));
        }
        let retries = RetryConfig {
            earned_per_request: self.retry_ratio,
            reserve: self.retry_reserve / CONCURRENT_DISPATCHERS,
            attempts_per_stage: ITEM_ATTEMPTS,
        };
        let queue = Arc::new(Queue {
            batcher: Mutex::new(Batcher::new(BatchingConfig::default(), limits, retries)),
            waiting: Mutex::default(),
            wake: Notify::new(),
        });
        queues.insert(service.clone(), Arc::clone(&queue));
        tokio::spawn(run_queue(
            Arc::clone(self),
            service.clone(),
            Arc::clone(&queue),
        ));
        Some(queue)
    }
}

/// Returns the data centre that keeps most bytes of the given results.
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

/// Starts calls whenever an endpoint is free and items wait.
async fn run_queue(dispatcher: Arc<BatchDispatcher>, service: ServiceName, queue: Arc<Queue>) {
    let mut swept_at = clock::now();
    loop {
        let now = clock::now();
        let view = Arc::clone(&dispatcher.view.borrow());
        let usable = view.usable(&service);
        if now.since(swept_at) >= SWEEP_PERIOD {
            swept_at = now;
            queue.batcher.lock().sweep(now, usable);
        }
        let late = queue.batcher.lock().expire(now);
        end_jobs(&dispatcher, &queue, late);
        let asked = queue.batcher.lock().ask_for_memory(now, usable);
        for endpoint in asked {
            tokio::spawn(ask_for_memory(
                Arc::clone(&dispatcher),
                Arc::clone(&queue),
                endpoint,
            ));
        }
        loop {
            let batch = queue.batcher.lock().next_batch(now, usable);
            let Some(batch) = batch else { break };
            tokio::spawn(run_batch(
                Arc::clone(&dispatcher),
                service.clone(),
                Arc::clone(&queue),
                batch,
            ));
        }
        let is_idle = queue.batcher.lock().waiting() == 0;
        if is_idle {
            queue.wake.notified().await;
        } else {
            // The tick also finds endpoints whose pause is over and items that are late.
            let _ = timeout(QUEUE_TICK, queue.wake.notified()).await;
        }
    }
}

/// Asks an endpoint how much memory it has for results.
async fn ask_for_memory(
    dispatcher: Arc<BatchDispatcher>,
    queue: Arc<Queue>,
    endpoint: Arc<Endpoint>,
) {
    let call = Call::get(endpoint.address, REPORT_PATH, MEMORY_TIMEOUT);
    let answer = fetch(&call, MEMORY_TIMEOUT).await;
    let free_bytes = match answer {
        Ok((StatusCode::OK, body)) => decode_free_bytes(&body),
        Ok((status, _)) => {
            info!(dispatcher.logger, "stages: no answer on room"; "endpoint" => %endpoint.id,
                "status" => status.as_u16());
            None
        }
        Err(error) => {
            info!(dispatcher.logger, "stages: no answer on room"; "endpoint" => %endpoint.id,
                "error" => format!("{error:#}"));
            None
        }
    };
    info!(dispatcher.logger, "stages: an endpoint said its room"; "endpoint" => %endpoint.id,
        "service" => %endpoint.service, "free_bytes" => free_bytes);
    queue
        .batcher
        .lock()
        .on_memory_report(clock::now(), &endpoint.id, free_bytes);
    queue.wake.notify_one();
}

async fn run_batch(
    dispatcher: Arc<BatchDispatcher>,
    service: ServiceName,
    queue: Arc<Queue>,
    batch: Batch,
) {
    let started = clock::now();
    let count = batch.items.len();
    let outcome = {
        let call = timeout(batch.timeout, call_batch(&batch));
        let mut call = std::pin::pin!(call);
        tokio::select! {
            outcome = call.as_mut() => outcome,
            () = sleep(INPUTS_FETCHED) => {
                let handles = batch.last_inputs.iter().flat_map(|inputs| inputs.iter().cloned());
                // Nobody receives them when the VM ends; they lapse by themselves.
                let _ = dispatcher.unused_inputs.send(handles.collect());
                call.await
            }
        }
    };
    let outcome = outcome.unwrap_or_else(|_| {
        Err((
            BatchFailure::MayHaveRun,
            "the call took too long".to_owned(),
        ))
    });
    let took_ms = clock::now().since(started).as_millis() as u64;
    match &outcome {
        Ok(items) => {
            let failed = items.iter().filter(|item| item.is_err()).count();
            let no_room = items
                .iter()
                .filter(|item| **item == Err(ItemFailure::NoRoom))
                .count();
            let gone = items
                .iter()
                .filter(|item| **item == Err(ItemFailure::InputGone))
                .count();
            info!(dispatcher.logger, "stages: a batch ran"; "service" => %service,
                "endpoint" => %batch.endpoint.id, "items" => count, "failed" => failed, "no_room" => no_room, "input_gone" => gone,
                "waiting" => queue.batcher.lock().waiting(), "used_bytes" => batch.used_bytes,
                "took_ms" => took_ms);
        }
        Err((failure, message)) => {
            warn!(dispatcher.logger, "stages: a batch failed"; "service" => %service,
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

fn end_jobs(dispatcher: &BatchDispatcher, queue: &Queue, ends: Vec<JobEnd>) {
    for end in ends {
        dispatcher.free(end.orphans);
        let Some(waiter) = queue.waiting.lock().remove(&end.id) else {
            continue;
        };
        if let Err(Ok(unused)) = waiter.send(end.results) {
            dispatcher.free(unused);
        }
    }
}

async fn call_batch(
    batch: &Batch,
) -> Result<Vec<Result<String, ItemFailure>>, (BatchFailure, String)> {
    let now = clock::now();
    let items = batch.items.iter();
    let body =
        encode_run(items.map(|(item, deadline)| (item, deadline.since(now).as_millis() as u64)));
    let refused = |message: String| (BatchFailure::Refused, message);
    let broken = |message: String| (BatchFailure::MayHaveRun, message);
    let endpoint = &batch.endpoint;
    let connection = connect(endpoint.address)
        .await
        .map_err(|failure| broken(failure.message))?;
    let request = stage_request(&endpoint.id, RUN_PATH, endpoint.address, body);
    let answer = connection
        .send(request)
        .await
        .map_err(|failure| broken(failure.message))?;
    let (response, _connection) = answer.into_parts();
    let status = response.status();
    match classify_stage(status, response.headers()) {
        ResponseClass::Answer => {}
        ResponseClass::NotRun | ResponseClass::OtherEndpoint => {
            return Err(refused(format!("the endpoint answered {status}")));
        }
        ResponseClass::Invalid => return Err(broken(format!("the endpoint answered {status}"))),
    }
    let body = read_body(response.into_body())
        .await
        .map_err(|failure| broken(failure.message))?;
    decode_run(&body, batch.items.len()).map_err(|error| broken(format!("{error:#}")))
}

fn stage_request(
    endpoint: &EndpointName,
    path: &str,
    address: std::net::SocketAddr,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = stage_headers(endpoint);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    request
}

/// Sends the collected results to the endpoints that keep them.
async fn free_results(dispatcher: Arc<BatchDispatcher>) {
    loop {
        dispatcher.free_wake.notified().await;
        sleep(FREE_DELAY).await;
        let freeing = std::mem::take(&mut *dispatcher.freeing.lock());
        for (address, handles) in freeing {
            let view = Arc::clone(&dispatcher.view.borrow());
            // The results of an endpoint that is gone went with it.
            let Some(endpoint) = view.endpoint_at(address) else {
                continue;
            };
            let (id, logger) = (endpoint.id.clone(), dispatcher.logger.clone());
            let dispatcher = Arc::clone(&dispatcher);
            tokio::spawn(async move {
                let count = handles.len();
                let freed = timeout(FREE_TIMEOUT, free_at(&id, address, &handles)).await;
                let error = match freed {
                    Ok(Ok(())) => return dispatcher.on_freed(&handles),
                    Ok(Err(error)) => error,
                    Err(_) => "no answer in time".to_owned(),
                };
                // Not retried: the endpoint drops results by itself after their time.
                warn!(logger, "stages: results were not freed"; "endpoint" => %id,
                    "results" => count, "error" => error);
            });
        }
    }
}

async fn free_at(
    endpoint: &EndpointName,
    address: std::net::SocketAddr,
    handles: &[String],
) -> Result<(), String> {
    let connection = connect(address).await.map_err(|failure| failure.message)?;
    let request = stage_request(endpoint, FREE_PATH, address, encode_free(handles));
    let answer = connection
        .send(request)
        .await
        .map_err(|failure| failure.message)?;
    match answer.response.status() {
        StatusCode::OK => Ok(()),
        status => Err(format!("the endpoint answered {status}")),
    }
}
