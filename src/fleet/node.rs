//! State that all tasks of a VM's traffic thread share.

use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::time::Duration;

use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::decisions::endpoint_choice::{
    AttemptEnd, ChoiceConfig, EndpointChoice, StartedAttempt, cold_share,
};
use crate::decisions::generation_times::{GenerationEstimate, GenerationTimes};
use crate::decisions::planned_stop::PlannedStop;
use crate::decisions::rendezvous::rendezvous_order;
use crate::decisions::retry_window::{RetryWindow, RetryWindowConfig};
use crate::decisions::stage_times::StageTimes;
use crate::decisions::warm_start::{SETTLING_PERIOD, hold_until};
use crate::fleet::admission::AdmittedRequest;
use crate::fleet::crash_reports::CrashBoard;
use crate::fleet::dispatcher::BatchDispatcher;
use crate::fleet::load_reports::LoadBoard;
use crate::fleet::metric;
use crate::fleet::model::{Configuration, Endpoint, FleetVm};
use crate::fleet::notices::NoticeBoard;
use crate::fleet::peers::Peers;
use crate::fleet::request_progress::LossCause;
use crate::fleet::settings::FleetSettings;
use crate::fleet::stages::min_time_to_first_event;
use crate::fleet::store_feed::{StoreFeed, WordOffers};
use crate::fleet::supervise::supervise;
use crate::fleet::view::FleetView;
use crate::platform::caller::CallerRequest;
use crate::units::{EndpointName, ServiceName, Time, VmId};

/// Maximum number of times that one request is sent to endpoints, the first included, whatever its
/// route allows.
pub const MAX_SENDS: u32 = 4;
/// Interval at which a wait during a planned stop computes again what remains, since the pace of engines
/// changes.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State that serving requests needs; the control thread's state is read from `view`.
pub struct Node {
    /// Settings that were read at the start. A reload changes only the control thread's copy, since
    /// addresses are fixed while a process runs.
    pub settings: FleetSettings,
    /// Logger that receives one line per decision.
    pub logger: Logger,
    /// Latest view that the control thread published.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// What this VM knows of the store, for other VMs.
    pub feed: watch::Receiver<Arc<StoreFeed>>,
    /// VMs that had a later word of the store than this one when they listened to it.
    pub offers: Arc<WordOffers>,
    /// Becomes true when a planned stop begins.
    pub stopping: watch::Receiver<bool>,
    /// Evidence of requests that crash engines.
    pub crashes: Arc<CrashBoard>,
    /// Loads that endpoints report.
    pub loads: Arc<LoadBoard>,
    /// Connections for calls to other VMs.
    pub peers: Arc<Peers>,
    /// What endpoints have asked for in their answers.
    pub notices: Arc<NoticeBoard>,
    /// Batches stage items of all VMs for the services that this VM batches for.
    pub dispatcher: Arc<BatchDispatcher>,
    /// Chooses endpoints by this VM's observations of them.
    pub choice: Mutex<EndpointChoice>,
    /// Retries that this VM may still send, by service.
    retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    /// Positions of this VM in the orders of the VMs that may send to cold endpoints.
    cold_ranks: Mutex<ColdRanks>,
    /// Recent durations of stages.
    pub stage_times: Mutex<StageTimes>,
    /// Recent paces and lengths of generations.
    pub generation_times: Mutex<GenerationTimes>,
    /// When this VM started.
    started_at: Time,
    /// Number of callers' requests in progress.
    pub active_requests: AtomicUsize,
    /// Number of stage jobs in progress for other VMs.
    pub active_peer_jobs: AtomicUsize,
    /// Whether the owners of all groups are being asked for a sign of life.
    pub checks_owners: AtomicBool,
    /// Number of open connections to this VM's listeners for callers, the directory, readiness checks
    /// and metrics.
    pub open_connections: AtomicUsize,
    /// Number of connections that the listener for callers has accepted since the start.
    pub accepted_connections: AtomicUsize,
    /// The times of the planned stop; `None` before it begins.
    pub planned_stop: Mutex<Option<PlannedStop>>,
    /// Once it is cancelled, the time of the planned stop is over and the open connections of callers end.
    pub cut_off: CancellationToken,
}

/// Positions of this VM in the rendezvous orders of endpoints. Each is computed once for a set of
/// VMs, since a choice among many cold endpoints asks for all of them.
#[derive(Default)]
struct ColdRanks {
    vms: Arc<BTreeMap<VmId, FleetVm>>,
    by_endpoint: HashMap<EndpointName, usize>,
}

impl ColdRanks {
    /// Returns the position of `own` among `vms` in the order of an endpoint.
    fn get(
        &mut self,
        endpoint: &EndpointName,
        vms: &Arc<BTreeMap<VmId, FleetVm>>,
        own: &VmId,
    ) -> usize {
        if !Arc::ptr_eq(&self.vms, vms) {
            self.vms = Arc::clone(vms);
            self.by_endpoint.clear();
        }
        let rank = || {
            let order = rendezvous_order(endpoint.as_str(), vms.keys());
            let rank = order.iter().position(|vm| *vm == own);
            rank.unwrap_or(usize::MAX)
        };
        let known = self.by_endpoint.get(endpoint).copied();
        known.unwrap_or_else(|| *self.by_endpoint.entry(endpoint.clone()).or_insert(rank()))
    }
}

/// Channels on which the traffic thread learns of the state of the control thread.
pub struct Subscriptions {
    /// The view that requests are served from.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// What this VM knows of the store, for other VMs.
    pub feed: watch::Receiver<Arc<StoreFeed>>,
    /// VMs that had a later word of the store than this one when they listened to it.
    pub offers: Arc<WordOffers>,
    /// Becomes true when a planned stop begins.
    pub stopping: watch::Receiver<bool>,
    /// Evidence of requests that crash engines.
    pub crashes: Arc<CrashBoard>,
    /// Loads that endpoints report.
    pub loads: Arc<LoadBoard>,
}

impl Node {
    /// Creates the shared state. `unused_inputs` receives stage results that nothing reads any more.
    pub fn new(
        settings: FleetSettings,
        logger: Logger,
        subscriptions: Subscriptions,
        unused_inputs: mpsc::UnboundedSender<Vec<String>>,
    ) -> Arc<Self> {
        let Subscriptions {
            view,
            feed,
            offers,
            stopping,
            crashes,
            loads,
        } = subscriptions;
        let notices = NoticeBoard::new(logger.clone(), Arc::clone(&loads));
        let dispatcher = BatchDispatcher::new(
            logger.clone(),
            Arc::clone(&notices),
            view.clone(),
            retry_window(&settings),
            unused_inputs,
        );
        Arc::new(Self {
            peers: Peers::new(settings.peer_port, logger.clone()),
            settings,
            logger,
            view,
            feed,
            offers,
            stopping,
            crashes,
            loads,
            notices,
            dispatcher,
            choice: Mutex::new(EndpointChoice::new(ChoiceConfig::default())),
            retries: Mutex::default(),
            cold_ranks: Mutex::default(),
            stage_times: Mutex::default(),
            generation_times: Mutex::default(),
            started_at: clock::now(),
            active_requests: AtomicUsize::new(0),
            active_peer_jobs: AtomicUsize::new(0),
            checks_owners: AtomicBool::new(false),
            open_connections: AtomicUsize::new(0),
            accepted_connections: AtomicUsize::new(0),
            planned_stop: Mutex::default(),
            cut_off: CancellationToken::new(),
        })
    }

    /// Starts a task of the traffic thread, and starts it again when it fails.
    pub fn spawn_supervised<F: Future<Output = ()> + Send + 'static>(
        self: &Arc<Self>,
        task: &'static str,
        run: impl Fn(Arc<Self>) -> F + Send + Sync + 'static,
    ) {
        let (logger, node) = (self.logger.clone(), Arc::clone(self));
        let start = move || run(Arc::clone(&node));
        tokio::spawn(supervise(logger, task, start));
    }

    /// Returns the latest view of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the configuration for a request that arrives now. While this VM has none because it has just
    /// started, the request is held for a short time; `None` if there is none by then, or this VM stops.
    pub async fn configuration_for(&self, caller: &CallerRequest) -> Option<Arc<Configuration>> {
        let known = self.view.borrow().configuration.clone();
        if known.is_some() {
            return known;
        }
        let now = clock::now();
        let time_left = hold_until(self.started_at, now, caller.deadline).since(now);
        metric::request_held();
        let (mut view, mut stopping) = (self.view.clone(), self.stopping.clone());
        tokio::select! {
            _ = view.wait_for(|view| view.configuration.is_some()) => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
            () = sleep(time_left) => {}
        }
        self.view.borrow().configuration.clone()
    }

    /// Waits until this VM has met its fleet, half a second after its start at the latest.
    pub async fn wait_for_fleet(&self) {
        // Fails only when the control thread has ended, and then this VM stops.
        let _ = self.view.clone().wait_for(|view| view.has_met_fleet).await;
    }

    /// Returns whether VMs may disagree on the owners of groups because a fleet has just started.
    pub fn forwards_jobs(&self) -> bool {
        clock::now().since(self.started_at) < SETTLING_PERIOD
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns why a request ends whose connection ends now.
    pub fn loss_cause(&self) -> LossCause {
        match self.cut_off.is_cancelled() {
            true => LossCause::PlannedStop,
            false => LossCause::CallerLeft,
        }
    }

    /// Waits until a request that still takes `remaining` can no longer be answered before the planned stop
    /// ends. Waits forever without one. `remaining` is computed again as the wait goes on.
    pub async fn stop_leaves_less_than(&self, remaining: impl Fn() -> Duration) {
        let mut stopping = self.stopping.clone();
        if stopping.wait_for(|stopping| *stopping).await.is_err() {
            return pending().await;
        }
        let planned_stop = *self.planned_stop.lock();
        let Some(planned_stop) = planned_stop else {
            return pending().await;
        };
        loop {
            let now = clock::now();
            let slack = (planned_stop.answer_by() - remaining()).since(now);
            if slack.is_zero() {
                return;
            }
            sleep(slack.min(STOP_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether a planned stop is under way that ends before a request that takes `remaining` from now
    /// on.
    pub fn stops_within(&self, remaining: Duration) -> bool {
        let planned_stop = *self.planned_stop.lock();
        planned_stop.is_some_and(|planned_stop| !planned_stop.fits(clock::now(), remaining))
    }

    /// Estimates what the generation of a request still takes, of which the caller has the events up to
    /// `last_event`. `endpoint` is its endpoint, if it is known.
    pub fn generation_estimate(
        &self,
        admitted: &AdmittedRequest,
        endpoint: Option<&EndpointName>,
        last_event: Option<u64>,
    ) -> GenerationEstimate {
        let events = last_event.map_or(0, |last_event| last_event.saturating_add(1));
        self.generation_times.lock().estimate(
            clock::now(),
            &admitted.service,
            endpoint,
            admitted.caller.expected_tokens(),
            events,
            min_time_to_first_event(admitted.caller.prompt_tokens),
        )
    }

    /// Records the first attempt of a request to a service, which allows a part of a retry.
    pub fn note_request(&self, service: &ServiceName) {
        self.with_retries(service, |retries| retries.on_first_attempt(clock::now()));
    }

    /// Returns whether one more retry at the service is allowed, and counts it if so. `sent` is the
    /// number of times that the request was sent; at `MAX_SENDS` there is no further retry.
    pub fn take_retry(&self, service: &ServiceName, sent: u32) -> bool {
        self.with_retries(service, |retries| retries.take(clock::now(), sent))
    }

    /// Returns whether [`Node::take_retry`] would allow a retry now.
    pub fn allows_retry(&self, service: &ServiceName, sent: u32) -> bool {
        self.with_retries(service, |retries| retries.allows(clock::now(), sent))
    }

    /// Records that the endpoint of an attempt in progress is silent, so that other requests avoid it.
    pub fn note_silence(&self, started: &mut StartedAttempt) {
        self.choice.lock().note_silence(clock::now(), started);
    }

    /// Records how an attempt ended, for later choices of endpoints and for the metrics.
    pub fn end_attempt(&self, started: StartedAttempt, end: AttemptEnd) {
        metric::attempt_ended(end);
        self.loads.on_attempt_end(started.process, end);
        self.choice.lock().finish(clock::now(), started, end);
    }

    /// Returns how many requests per second this VM may send to a cold endpoint: its share of the
    /// service's limit, or `usize::MAX` if the service has no limit.
    pub fn max_cold_requests_per_s(&self, view: &FleetView, endpoint: &Endpoint) -> usize {
        let services = view
            .configuration
            .as_ref()
            .map(|configuration| &configuration.services);
        let service = services.and_then(|services| services.get(&endpoint.service));
        let rate = service.map_or(0.0, |service| service.cold_requests_per_s);
        if rate <= 0.0 {
            return usize::MAX;
        }
        let rank = || {
            let mut ranks = self.cold_ranks.lock();
            ranks.get(&endpoint.id, &view.vms, &self.settings.vm)
        };
        cold_share(rate, view.share_count, rank)
    }

    /// Calls `update` with the service's retries, of which this VM has a share of the reserve.
    fn with_retries<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let shares = f64::from(self.view.borrow().share_count.max(1));
        let mut retries = self.retries.lock();
        if !retries.contains_key(service) {
            let window = RetryWindow::new(retry_window(&self.settings));
            retries.insert(service.clone(), window);
        }
        let retries = retries.get_mut(service);
        let retries = retries.unwrap_or_else(|| unreachable!("the window was inserted above"));
        retries.set_reserve(self.settings.retry_reserve / shares);
        update(retries)
    }
}

/// Returns the limit on retries for the whole fleet.
fn retry_window(settings: &FleetSettings) -> RetryWindowConfig {
    RetryWindowConfig {
        ratio: settings.retry_ratio,
        reserve: settings.retry_reserve,
        window: settings.retry_window,
        max_attempts: MAX_SENDS,
    }
}
