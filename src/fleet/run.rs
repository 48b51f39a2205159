//! Starts, reloads and stops a VM on the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Level, Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, timeout};
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::decisions::planned_stop::PlannedStop;
use crate::fleet::caller_memory::peer_bounds;
use crate::fleet::control::{Publications, run_control};
use crate::fleet::crash_reports::CrashBoard;
use crate::fleet::ingress::{self, Closing};
use crate::fleet::load_reports::LoadBoard;
use crate::fleet::metric;
use crate::fleet::node::{Node, Subscriptions};
use crate::fleet::peers::serve_peers;
use crate::fleet::settings::{FleetSettings, read_settings};
use crate::fleet::stage_jobs::{self, serve_peer_call};
use crate::fleet::store_feed::{StoreFeed, WordOffers};
use crate::fleet::view::FleetView;
use crate::logger::build_stdout_logger;
use crate::recorder::{AGGREGATION_PERIOD, aggregate_samples};
use crate::units::{Incarnation, Time};

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;
/// Time from the signal to stop until idle connections of callers close. Callers look up addresses
/// every two seconds, so that by then they know that this VM leaves.
const LEAVE_NOTICE_PERIOD: Duration = Duration::from_millis(2_200);
/// Number of checks in a row that find no open work and no new connection before a VM stops early.
const IDLE_CHECKS: u32 = 8;
/// Number of checks in a row that find no open work before the process exits once its listeners are
/// closed. The last answers to other VMs are written between two of them.
const EXIT_IDLE_CHECKS: u32 = 2;
/// Time in which the open connections end once the time of a planned stop is over.
const CUT_OFF_PERIOD: Duration = Duration::from_millis(20);
/// Interval of the check whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the observations of endpoints that may no longer be used are
/// dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Runs this VM with the settings file at `path` until a planned stop has ended. With `check_only`,
/// only checks the settings.
pub fn run_fleet_vm(path: &Path, check_only: bool) -> ExitCode {
    let (runtime, hangup) = match runtime_with_hangup() {
        Ok(started) => started,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
        println!("settings: no findings");
        return ExitCode::SUCCESS;
    }
    let (logger, _flush) = build_stdout_logger(Level::Info);
    match serve(&runtime, hangup, path.to_owned(), settings, &logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(logger, "vm: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn serve(
    runtime: &Runtime,
    hangup: Signal,
    path: PathBuf,
    settings: FleetSettings,
    logger: &Logger,
) -> anyhow::Result<()> {
    let incarnation = Incarnation::of_start(SystemTime::now());
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context("cannot install the metrics recorder")?;
    let (view, view_receiver) = watch::channel(Arc::new(FleetView::default()));
    let (feed, feed_receiver) = watch::channel(Arc::new(StoreFeed::default()));
    let (stop, stopping) = watch::channel(false);
    let (reload, reloaded) = watch::channel(None);
    let offers = Arc::new(WordOffers::default());
    let crashes = Arc::new(CrashBoard::default());
    let loads = Arc::new(LoadBoard::default());
    // The control thread owns `alive`, so `control_ended` resolves when it ends for any reason.
    let (alive, control_ended) = oneshot::channel::<()>();
    let control = {
        let (settings, logger, stopping) = (settings.clone(), logger.clone(), stopping.clone());
        let offers = Arc::clone(&offers);
        let (crashes, loads) = (Arc::clone(&crashes), Arc::clone(&loads));
        let run = move || {
            let _alive = alive;
            let publications = Publications {
                view,
                feed,
                offers,
                crashes,
                loads,
            };
            let control = run_control(
                settings,
                incarnation,
                logger,
                publications,
                stopping,
                reloaded,
            );
            single_thread_runtime()?.block_on(control)
        };
        let builder = thread::Builder::new().name("control".to_owned());
        builder
            .spawn(run)
            .context("cannot start the control thread")?
    };
    let is_planned_stop = runtime.block_on(async {
        let subscriptions = Subscriptions {
            view: view_receiver,
            feed: feed_receiver,
            offers,
            stopping,
            crashes,
            loads,
        };
        let (unused_inputs, unused) = mpsc::unbounded_channel();
        let node = Node::new(
            settings.clone(),
            logger.clone(),
            subscriptions,
            unused_inputs,
        );
        // Before the listeners are bound, so that no signal ends a process that has connections.
        let mut stop_signals = StopSignals::new()?;
        stage_jobs::start_tasks(&node, unused);
        tokio::spawn(metric::measure_thread("traffic"));
        tokio::spawn(aggregate_samples(metrics.clone(), AGGREGATION_PERIOD));
        let closing = Closing::default();
        let accepting = start_listeners(&node, &closing, metrics)?;
        tokio::spawn(reload_on_hangup(hangup, path, logger.clone(), reload));
        tokio::spawn(forget_endpoints(Arc::clone(&node)));
        info!(logger, "vm: started"; "vm" => %settings.vm, "incarnation" => %incarnation,
            "data_centre" => %settings.data_centre, "version" => env!("CARGO_PKG_VERSION"));
        let is_planned_stop = tokio::select! {
            () = stop_signals.recv() => true,
            _ = control_ended => {
                // Gossip has ended with the control thread, so that other VMs find this one dead.
                error!(logger, "vm: the control thread ended, stopping");
                false
            }
        };
        drain(&node, &closing, &accepting, &stop).await;
        anyhow::Ok(is_planned_stop)
    })?;
    if is_planned_stop {
        info!(logger, "vm: stopped");
        return Ok(());
    }
    let control_result = control.join();
    control_result.map_err(|_| anyhow::anyhow!("the control thread panicked"))??;
    anyhow::bail!("the control thread ended")
}

/// Creates the runtime for traffic, and receives SIGHUP from then on. Until a process receives it,
/// the signal ends the process, so this comes before the settings are read.
fn runtime_with_hangup() -> anyhow::Result<(Runtime, Signal)> {
    let runtime = single_thread_runtime()?;
    let hangup = {
        let _context = runtime.enter();
        signal(SignalKind::hangup()).context("cannot receive SIGHUP")?
    };
    Ok((runtime, hangup))
}

fn single_thread_runtime() -> anyhow::Result<Runtime> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("cannot start a runtime")
}

/// Binds and serves all listeners. The tasks of the result accept connections until the planned stop
/// has closed their listeners.
fn start_listeners(
    node: &Arc<Node>,
    closing: &Closing,
    metrics: PrometheusHandle,
) -> anyhow::Result<TaskTracker> {
    let settings = &node.settings;
    let listen = |address: std::net::SocketAddr, whom: &str| -> anyhow::Result<TcpListener> {
        ingress::bind(address).with_context(|| format!("cannot listen for {whom} on {address}"))
    };
    let callers = listen(settings.caller_address, "callers")?;
    let directory = listen(settings.directory_address, "the directory")?;
    let readiness = listen(settings.readiness_address, "readiness")?;
    let peers = listen((settings.ip, settings.peer_port).into(), "other VMs")?;
    let metrics_listener = listen((settings.ip, settings.metrics_port).into(), "metrics")?;
    let accepting = TaskTracker::new();
    accepting.spawn(ingress::serve_callers(
        Arc::clone(node),
        callers,
        closing.clone(),
    ));
    accepting.spawn(ingress::serve_directory(
        Arc::clone(node),
        directory,
        closing.clone(),
    ));
    accepting.spawn(ingress::serve_readiness(
        Arc::clone(node),
        readiness,
        closing.clone(),
    ));
    let serve_metrics =
        ingress::serve_metrics(Arc::clone(node), metrics_listener, closing.clone(), metrics);
    accepting.spawn(serve_metrics);
    let handler_node = Arc::clone(node);
    let handle = move |body| serve_peer_call(Arc::clone(&handler_node), body);
    let accounts = ingress::accounts(node, "other VMs", peer_bounds);
    tokio::spawn(serve_peers(peers, node.logger.clone(), accounts, handle));
    accepting.close();
    Ok(accepting)
}

/// The signals that ask for a planned stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Receives the signals from now on; before, each ends the process. Later ones have no effect.
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("cannot receive SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).context("cannot receive SIGINT")?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Stops taking requests, and waits until all of them have ended or the time of a planned stop is over.
async fn drain(
    node: &Node,
    closing: &Closing,
    accepting: &TaskTracker,
    stop: &watch::Sender<bool>,
) {
    let planned_stop = PlannedStop::new(clock::now(), node.settings.grace);
    *node.planned_stop.lock() = Some(planned_stop);
    stop.send_replace(true);
    node.dispatcher.hand_over();
    info!(node.logger, "vm: planned stop begins"; "requests" => open_work(node));
    sleep(LEAVE_NOTICE_PERIOD).await;
    closing.connections.cancel();
    wait_until_idle(node, planned_stop.last_accept_at(), IDLE_CHECKS).await;
    info!(node.logger, "vm: closing the listeners"; "open" => open_work(node),
        "accepted" => node.accepted_connections.load(Ordering::Relaxed));
    closing.listeners.cancel();
    // Accepting fails for as long as descriptors run out, which must not hold up the process.
    let time_left = planned_stop.exit_at.since(clock::now());
    let _ = timeout(time_left, accepting.wait()).await;
    if wait_until_idle(node, planned_stop.exit_at, EXIT_IDLE_CHECKS).await {
        return;
    }
    warn!(node.logger, "vm: the time to stop is over, open streams are cut off";
        "requests" => open_work(node));
    node.cut_off.cancel();
    // The requests that end here are logged as their connections end.
    sleep(CUT_OFF_PERIOD).await;
}

/// Returns the number of other VMs' stage jobs in progress, and of callers' requests, or of their open
/// connections if there are more: an answer that is not sent yet, or a request that has just been sent,
/// has only a connection.
fn open_work(node: &Node) -> usize {
    let requests = node.active_requests.load(Ordering::Relaxed);
    let connections = node.open_connections.load(Ordering::Relaxed);
    requests.max(connections) + node.active_peer_jobs.load(Ordering::Relaxed)
}

/// Waits until `checks` checks in a row found no open work and no connection accepted in between, since
/// short requests begin and end between two checks. Returns whether that came before `until`.
async fn wait_until_idle(node: &Node, until: Time, checks: u32) -> bool {
    let mut idle_checks = 0;
    let mut accepted_before = node.accepted_connections.load(Ordering::Relaxed);
    while clock::now() < until {
        sleep(DRAIN_CHECK_INTERVAL).await;
        let accepted = node.accepted_connections.load(Ordering::Relaxed);
        let is_idle = open_work(node) == 0 && accepted == accepted_before;
        accepted_before = accepted;
        idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        if idle_checks >= checks {
            return true;
        }
    }
    false
}

/// Reads the settings file again at each SIGHUP, which the platform sends when it has changed.
/// Invalid settings are logged and the former ones stay.
async fn reload_on_hangup(
    mut hangup: Signal,
    path: PathBuf,
    logger: Logger,
    reload: watch::Sender<Option<FleetSettings>>,
) {
    while hangup.recv().await.is_some() {
        match read_settings(&path) {
            Ok(settings) => {
                info!(logger, "settings: reloaded"; "seeds" => settings.seeds.len());
                reload.send_replace(Some(settings));
            }
            Err(error) => {
                error!(logger, "settings: cannot be reloaded, the former ones stay";
                    "error" => format!("{error:#}"));
            }
        }
    }
}

/// Drops the observations of endpoints that may no longer be used.
async fn forget_endpoints(node: Arc<Node>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let view = node.view();
        let usable_ids: std::collections::HashSet<_> = view
            .endpoints
            .values()
            .flatten()
            .map(|endpoint| endpoint.id.clone())
            .collect();
        node.choice.lock().retain(|id| usable_ids.contains(id));
        node.loads.refresh(view.vms.len());
        let mut generation_times = node.generation_times.lock();
        generation_times.retain(|id| usable_ids.contains(id));
        drop(generation_times);
        let listed = view.endpoints_by_address.values();
        let listed_ids: std::collections::HashSet<_> =
            listed.map(|endpoint| endpoint.id.clone()).collect();
        node.notices.retain(|id| listed_ids.contains(id));
    }
}
