//! State that all connections and requests of the traffic side share.

use std::collections::HashMap;
use std::future::pending;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::blackboard::{Catalogue, ControlCommand, Snapshot};
use crate::clock;
use crate::context::Context;
use crate::decisions::run_time::{RunTimeConfig, RunTimes};
use crate::traffic::api_key;
use crate::traffic::config::TrafficConfig;
use crate::traffic::endpoint_client::EndpointClient;
use crate::traffic::metric;
use crate::traffic::request_ids::RequestIds;
use crate::traffic::router_state::RouterState;
use crate::units::{OrganisationName, PipelineName, Time};

/// Interval at which the snapshot is checked for changes, which bounds how soon running requests
/// notice one. They must notice a withdrawn API key within a few seconds.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the limit of a planned stop at which requests in progress are ended, so that their callers can
/// still be answered.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Requests of one organisation since the daemon started.
#[derive(Debug, Default, Clone, Copy)]
pub struct OrganisationCounts {
    /// Requests that got a quota token.
    pub admitted: u64,
    /// Requests that were refused at admission, before a stage ran.
    pub refused: u64,
}

/// State shared by all connections and requests.
pub struct Traffic {
    /// Context of the daemon.
    pub context: Context,
    /// Settings of the traffic side.
    pub config: TrafficConfig,
    /// Sends reports and requests to the control thread.
    pub commands: mpsc::Sender<ControlCommand>,
    /// Slots, queues and the retry budget.
    pub router: Arc<RouterState>,
    /// Table of request ids and their stored answers.
    pub ids: RequestIds,
    /// Client that calls endpoints.
    pub client: EndpointClient,
    /// Counter that increases when the catalogue changes, becomes stale or is confirmed again,
    /// which means that API keys must be checked again.
    pub api_key_checks: watch::Receiver<u64>,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
    /// Time at which the first request in progress noticed the planned stop.
    stop_noticed_at: OnceLock<Time>,
    /// Time at which this VM's data centre was first seen out of service while other VMs could
    /// serve; `None` otherwise.
    pub data_centre_out_since: watch::Receiver<Option<Time>>,
    /// Tasks of running requests, including those whose caller is gone.
    pub runs: TaskTracker,
    run_times: Mutex<RunTimes>,
    counts: Mutex<HashMap<OrganisationName, OrganisationCounts>>,
}

impl Traffic {
    /// Records, for an answered request, the time from each stage's start until now.
    pub fn record_run_times(&self, pipeline: &PipelineName, stages_started_at: &[Time]) {
        let now = clock::now();
        let mut run_times = self.run_times.lock();
        for (stage, started_at) in stages_started_at.iter().enumerate() {
            run_times.record(pipeline, stage, now.since(*started_at));
        }
    }

    /// Returns the maximum time that a request may wait before a stage and still be answered in
    /// time, estimated from earlier requests of the pipeline.
    pub fn max_wait(&self, pipeline: &PipelineName, stage: usize, remaining: Duration) -> Duration {
        self.run_times.lock().max_wait(pipeline, stage, remaining)
    }

    /// Builds the shared state.
    pub fn new(
        context: Context,
        config: TrafficConfig,
        commands: mpsc::Sender<ControlCommand>,
        stop: watch::Receiver<bool>,
        signals: SnapshotSignals,
    ) -> Self {
        let snapshot = Arc::clone(&context.snapshot);
        let router = RouterState::new(&config, context.data_centre.clone(), snapshot);
        Self {
            router: Arc::new(router),
            ids: RequestIds::new(&context, &config),
            client: EndpointClient::new(&config),
            runs: TaskTracker::new(),
            run_times: Mutex::new(RunTimes::new(RunTimeConfig::default())),
            counts: Mutex::default(),
            context,
            config,
            commands,
            stop,
            stop_noticed_at: OnceLock::new(),
            api_key_checks: signals.api_key_checks,
            data_centre_out_since: signals.data_centre_out_since,
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() || self.context.snapshot.load().stopping
    }

    /// Waits until a planned stop is so close to its limit that requests in progress have to be ended, since
    /// their callers would lose their connections without an answer.
    pub async fn drain_limit_nears(&self) {
        let mut stop = self.stop.clone();
        if stop.wait_for(|stopping| *stopping).await.is_err() {
            return pending().await;
        }
        let began_at = *self.stop_noticed_at.get_or_init(clock::now);
        let limit = self.config.drain_limit.saturating_sub(LAST_ANSWER_MARGIN);
        sleep((began_at + limit).since(clock::now())).await;
    }

    /// Returns whether new work is refused: during a planned stop, or once this VM's data
    /// centre has been out of service for `data_centre_out_grace` while VMs elsewhere could
    /// serve (P3).
    pub fn refuses_new_work(&self) -> bool {
        let data_centre_out_since = *self.data_centre_out_since.borrow();
        let grace = self.config.data_centre_out_grace;
        self.is_stopping()
            || data_centre_out_since.is_some_and(|since| clock::now() >= since + grace)
    }

    /// Sends a report to the control thread. The report is dropped, and counted as dropped, if
    /// the command queue is full or closed.
    pub fn report(&self, command: ControlCommand) {
        if self.commands.try_send(command).is_err() {
            metrics::counter!(metric::REPORTS_DROPPED_TOTAL).increment(1);
        }
    }

    /// Counts a request that got a quota token.
    pub fn count_admitted(&self, organisation: &OrganisationName) {
        let mut counts = self.counts.lock();
        counts.entry(organisation.clone()).or_default().admitted += 1;
    }

    /// Counts a request that was refused at admission, before a stage ran.
    pub fn count_refused(&self, organisation: &OrganisationName) {
        let mut counts = self.counts.lock();
        counts.entry(organisation.clone()).or_default().refused += 1;
    }

    /// Returns the counts of every organisation with a counted request.
    pub fn counts(&self) -> Vec<(OrganisationName, OrganisationCounts)> {
        let counts = self.counts.lock();
        let entries = counts.iter();
        entries
            .map(|(name, count)| (name.clone(), *count))
            .collect()
    }
}

/// Signals from [`watch_snapshot`] to requests and connections.
pub struct SnapshotSignals {
    api_key_checks: watch::Receiver<u64>,
    data_centre_out_since: watch::Receiver<Option<Time>>,
}

/// Senders of [`SnapshotSignals`].
pub struct SnapshotSignalSenders {
    api_key_checks: watch::Sender<u64>,
    data_centre_out_since: watch::Sender<Option<Time>>,
}

/// Creates the signals for requests and connections, with their senders.
pub fn snapshot_signals() -> (SnapshotSignalSenders, SnapshotSignals) {
    let (checks_sender, api_key_checks) = watch::channel(0);
    let (out_sender, data_centre_out_since) = watch::channel(None);
    let senders = SnapshotSignalSenders {
        api_key_checks: checks_sender,
        data_centre_out_since: out_sender,
    };
    (
        senders,
        SnapshotSignals {
            api_key_checks,
            data_centre_out_since,
        },
    )
}

/// Signals running requests and connections to check their API keys when the catalogue or its
/// staleness changes. Publishes since when this VM's data centre is out of service, from which
/// it follows whether new requests are refused.
pub async fn watch_snapshot(context: Context, senders: SnapshotSignalSenders) {
    // The last catalogue is kept alive so that a later one cannot have the same address, by
    // which catalogues are compared.
    let mut last: Option<(Option<Arc<Catalogue>>, bool)> = None;
    loop {
        let snapshot = context.snapshot.load_full();
        let is_stale = api_key::is_stale_past_grace(&snapshot);
        let is_unchanged = last.as_ref().is_some_and(|(catalogue, was_stale)| {
            let latest = snapshot.catalogue.as_ref().map(Arc::as_ptr);
            catalogue.as_ref().map(Arc::as_ptr) == latest && *was_stale == is_stale
        });
        if !is_unchanged {
            last = Some((snapshot.catalogue.clone(), is_stale));
            senders.api_key_checks.send_modify(|count| *count += 1);
        }
        let out = is_data_centre_out(&snapshot, &context);
        senders.data_centre_out_since.send_if_modified(|since| {
            let has_changed = since.is_some() != out;
            if has_changed {
                *since = out.then(clock::now);
            }
            has_changed
        });
        drop(snapshot);
        tokio::time::sleep(SNAPSHOT_CHECK_INTERVAL).await;
    }
}

/// Returns whether this VM's data centre is out of service while VMs elsewhere can serve
/// callers.
fn is_data_centre_out(snapshot: &Snapshot, context: &Context) -> bool {
    let catalogue = snapshot.catalogue.as_ref();
    let out = catalogue.is_some_and(|catalogue| !catalogue.in_service(&context.data_centre));
    out && snapshot.vms_open_to_callers().next().is_some()
}
