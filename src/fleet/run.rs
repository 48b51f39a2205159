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
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::fleet::control::run_control;
use crate::fleet::ingress;
use crate::fleet::model::FleetView;
use crate::fleet::node::Node;
use crate::fleet::peers::serve_peers;
use crate::fleet::settings::{FleetSettings, read_settings};
use crate::fleet::stages::serve_peer_call;
use crate::logger::build_stdout_logger;
use crate::units::Incarnation;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILURE: u8 = 1;
/// Time after the signal to stop in which callers learn that this VM leaves, before its idle
/// connections close: they ask for addresses every two seconds.
const LEAVE_TIME: Duration = Duration::from_millis(2_200);
/// Time before the platform's kill at which the process ends in any case.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Period of the check whether all requests have ended.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// Period at which endpoints that are gone are forgotten.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);

/// Serves as one VM of the fleet until a planned stop has ended.
pub fn run_fleet_vm(path: &Path, check_only: bool) -> ExitCode {
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
    match serve(path.to_owned(), settings, &logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(logger, "vm: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn serve(path: PathBuf, settings: FleetSettings, logger: &Logger) -> anyhow::Result<()> {
    let incarnation = Incarnation::of_start(SystemTime::now());
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context("cannot install the metrics recorder")?;
    let (view, view_receiver) = watch::channel(Arc::new(FleetView::default()));
    let (stop, stopping) = watch::channel(false);
    let (reload, reloaded) = watch::channel(None);
    // Dropped when the control thread ends for any reason.
    let (running, control_gone) = oneshot::channel::<()>();
    let control = {
        let (settings, logger, stopping) = (settings.clone(), logger.clone(), stopping.clone());
        let run = move || {
            let _running = running;
            let control = run_control(settings, incarnation, logger, view, stopping, reloaded);
            single_thread_runtime()?.block_on(control)
        };
        let builder = thread::Builder::new().name("control".to_owned());
        builder
            .spawn(run)
            .context("cannot start the control thread")?
    };
    let runtime = single_thread_runtime()?;
    let stopped = runtime.block_on(async {
        let node = Node::new(settings.clone(), logger.clone(), view_receiver, stopping);
        let closing = CancellationToken::new();
        start_listeners(&node, &closing, metrics)?;
        tokio::spawn(reload_on_hangup(path, logger.clone(), reload));
        tokio::spawn(forget_endpoints(Arc::clone(&node)));
        info!(logger, "vm: started"; "vm" => %settings.vm, "incarnation" => %incarnation,
            "data_centre" => %settings.data_centre, "version" => env!("CARGO_PKG_VERSION"));
        tokio::select! {
            stopped = wait_for_stop(&node, &closing, &stop) => stopped.map(|()| true),
            _ = control_gone => Ok(false),
        }
    })?;
    if stopped {
        info!(logger, "vm: stopped");
        return Ok(());
    }
    let controlled = control.join();
    controlled.map_err(|_| anyhow::anyhow!("the control thread panicked"))?
}

fn single_thread_runtime() -> anyhow::Result<Runtime> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("cannot start a runtime")
}

fn start_listeners(
    node: &Arc<Node>,
    closing: &CancellationToken,
    metrics: PrometheusHandle,
) -> anyhow::Result<()> {
    let settings = &node.settings;
    let listen = |address: std::net::SocketAddr, whom: &str| -> anyhow::Result<TcpListener> {
        ingress::bind(address).with_context(|| format!("cannot listen for {whom} on {address}"))
    };
    let callers = listen(settings.caller_address, "callers")?;
    let directory = listen(settings.directory_address, "the directory")?;
    let readiness = listen(settings.readiness_address, "readiness")?;
    let peers = listen((settings.ip, settings.peer_port).into(), "other VMs")?;
    let metrics_listener = listen((settings.ip, settings.metrics_port).into(), "metrics")?;
    tokio::spawn(ingress::serve_callers(
        Arc::clone(node),
        callers,
        closing.clone(),
    ));
    tokio::spawn(ingress::serve_directory(
        Arc::clone(node),
        directory,
        closing.clone(),
    ));
    tokio::spawn(ingress::serve_readiness(
        Arc::clone(node),
        readiness,
        closing.clone(),
    ));
    let serve_metrics =
        ingress::serve_metrics(Arc::clone(node), metrics_listener, closing.clone(), metrics);
    tokio::spawn(serve_metrics);
    let answering = Arc::clone(node);
    let handle = move |body| serve_peer_call(Arc::clone(&answering), body);
    tokio::spawn(serve_peers(peers, node.logger.clone(), handle));
    Ok(())
}

/// Waits for the signal to stop and then for the end of all requests.
async fn wait_for_stop(
    node: &Node,
    closing: &CancellationToken,
    stop: &watch::Sender<bool>,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot receive signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot receive signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began = clock::now();
    *node.stop_began.lock() = Some(began);
    stop.send_replace(true);
    let active = || node.active.load(Ordering::Relaxed);
    info!(node.logger, "vm: planned stop begins"; "requests" => active());
    sleep(LEAVE_TIME).await;
    closing.cancel();
    let limit = node.settings.grace.saturating_sub(KILL_MARGIN);
    // Two idle checks in a row, so that a request that was just accepted is seen.
    let mut idle_checks = 0;
    while clock::now().since(began) < limit {
        sleep(DRAIN_TICK).await;
        idle_checks = if active() == 0 { idle_checks + 1 } else { 0 };
        if idle_checks >= 8 {
            return Ok(());
        }
    }
    warn!(node.logger, "vm: the time to stop is over"; "requests" => active());
    Ok(())
}

/// Reads the settings again when the platform says that they changed.
async fn reload_on_hangup(
    path: PathBuf,
    logger: Logger,
    reload: watch::Sender<Option<FleetSettings>>,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            error!(logger, "settings: cannot receive SIGHUP: {error}");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match read_settings(&path) {
            Ok(settings) => {
                info!(logger, "settings: reloaded"; "seeds" => settings.seeds.len());
                reload.send_replace(Some(settings));
            }
            Err(error) => {
                error!(logger, "settings: not taken, the former ones stay";
                    "error" => format!("{error:#}"));
            }
        }
    }
}

async fn forget_endpoints(node: Arc<Node>) {
    let mut ticks = interval(SWEEP_PERIOD);
    loop {
        ticks.tick().await;
        let view = node.view();
        let known: std::collections::HashSet<_> = view
            .endpoints
            .values()
            .flatten()
            .map(|endpoint| endpoint.id.clone())
            .collect();
        node.choice.lock().retain(|id| known.contains(id));
    }
}
