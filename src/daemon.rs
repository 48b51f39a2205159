//! Starts the daemon: one control thread, a runtime for traffic, and signal handling.
//!
//! `docs/design.md`, 3.9 describes the planned stop.

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::SystemTime;

use anyhow::Context as _;
use clap::Parser;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{error, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Duration, timeout};

use crate::blackboard::{SharedSnapshot, Snapshot};
use crate::context::Context;
use crate::control::{ControlConfig, Listeners, run_control};
use crate::explain::{DecisionLog, DecisionLogConfig};
use crate::fleet::run_fleet_vm;
use crate::fleet::settings::SETTINGS_VARIABLE;
use crate::logger::build_logger;
use crate::recorder::{AGGREGATION_PERIOD, aggregate_samples};
use crate::settings::{Arguments, Settings};
use crate::traffic::{self, TrafficConfig};
use crate::units::Incarnation;

/// Exit code of a daemon that failed to start or run.
const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid settings. Clap exits with the same code for unknown flags.
const EXIT_USAGE: u8 = 2;
/// Number that is added to a signal's number to form the exit code, as in shells.
const EXIT_SIGNAL_BASE: i32 = 128;

/// Reads the settings and serves until a planned stop has ended.
pub fn run_daemon() -> ExitCode {
    // The platform names a settings file in an environment variable. Without it, the settings
    // come from flags and environment variables.
    if let Some(path) = std::env::var_os(SETTINGS_VARIABLE) {
        let check_only = std::env::args().any(|argument| argument == "--check");
        return run_fleet_vm(path.as_ref(), check_only);
    }
    let arguments = Arguments::parse();
    let settings = match arguments.validate() {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("settings: no findings");
        return ExitCode::SUCCESS;
    }
    let decisions = Arc::new(DecisionLog::new(DecisionLogConfig::default()));
    let (logger, _flush) = build_logger(
        settings.log_format,
        settings.log_level,
        Arc::clone(&decisions),
    );
    let context = Context {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation::of_start(SystemTime::now()),
        logger: logger.clone(),
        snapshot: Arc::new(SharedSnapshot::from_pointee(Snapshot::default())),
        decisions,
    };
    match serve(context, &settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(logger, "daemon: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn serve(context: Context, settings: &Settings) -> anyhow::Result<()> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context("cannot install the metrics recorder")?;
    let listeners = Listeners::bind(settings.peer_state_address, settings.peer_call_address)?;
    let (commands_sender, commands) = mpsc::channel(settings.commands_limit);
    let (stop, stop_receiver) = watch::channel(false);
    let (traffic_ended, traffic_ended_receiver) = watch::channel(false);
    // The control thread holds the guard and drops it when it ends for any reason.
    let (control_guard, control_ended) = oneshot::channel::<()>();
    let control_thread = {
        let context = context.clone();
        let config = control_config(settings);
        let stop = stop.clone();
        let run = move || {
            let _control_guard = control_guard;
            run_control(
                context,
                config,
                listeners,
                commands,
                stop,
                traffic_ended_receiver,
            )
        };
        let builder = thread::Builder::new().name("control".to_owned());
        builder
            .spawn(run)
            .context("cannot start the control thread")?
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("cannot start the traffic runtime")?;
    // Registered before the daemon logs that it started, because a signal that arrives before
    // the registration kills the daemon.
    let signals = {
        let _runtime_guard = runtime.enter();
        Signals::register().context("cannot receive signals")?
    };
    info!(context.logger, "daemon: {} started", settings.vm;
        "incarnation" => context.incarnation.to_string());
    let served = runtime.block_on(async {
        tokio::spawn(stop_on_signals(context.clone(), signals, stop.clone()));
        tokio::spawn(aggregate_samples(metrics.clone(), AGGREGATION_PERIOD));
        let config = traffic_config(settings, metrics);
        let traffic = traffic::serve(
            context.clone(),
            config,
            commands_sender,
            stop_receiver.clone(),
        );
        tokio::select! {
            served = drain_with_limit(settings.drain_limit, traffic, stop_receiver) => served,
            _ = control_ended => Ok(()),
        }
    });
    traffic_ended.send_replace(true);
    runtime.shutdown_background();
    let control_result = control_thread.join();
    control_result.map_err(|_| anyhow::anyhow!("the control thread panicked"))??;
    served?;
    info!(context.logger, "daemon: stopped");
    Ok(())
}

fn control_config(settings: &Settings) -> ControlConfig {
    let mut config = ControlConfig::new(settings.platform_address, settings.peer_state_address);
    config.quota_mode = settings.quota;
    config.acquires_limit = settings.acquires_limit;
    config.link.connections_limit = settings.peer_connections_limit;
    config.calls.connections_limit = settings.peer_connections_limit;
    config.calls.calls_limit = settings.acquires_limit;
    config
}

fn traffic_config(settings: &Settings, metrics: PrometheusHandle) -> TrafficConfig {
    TrafficConfig {
        caller_address: settings.caller_address,
        operator_address: settings.operator_address,
        routing_mode: settings.routing,
        retry_budget_enabled: settings.retry_budget,
        drain_limit: settings.drain_limit,
        metrics: Some(metrics),
        ..TrafficConfig::default()
    }
}

/// Waits until traffic has ended, but no longer than the drain limit after a planned stop began.
async fn drain_with_limit(
    limit: Duration,
    traffic: impl Future<Output = anyhow::Result<()>>,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    tokio::pin!(traffic);
    tokio::select! {
        served = &mut traffic => return served,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    let drained = timeout(limit, traffic).await;
    drained.unwrap_or_else(|_| {
        Err(anyhow::anyhow!(
            "requests still ran at the drain limit of {limit:?}"
        ))
    })
}

/// Signals that stop the daemon.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> SignalKind {
        tokio::select! {
            _ = self.terminate.recv() => SignalKind::terminate(),
            _ = self.interrupt.recv() => SignalKind::interrupt(),
        }
    }
}

/// Begins the planned stop at the first SIGTERM or SIGINT and exits at the second.
async fn stop_on_signals(context: Context, mut signals: Signals, stop: watch::Sender<bool>) {
    let mut stopping = false;
    loop {
        let kind = signals.next().await;
        if stopping {
            std::process::exit(EXIT_SIGNAL_BASE + kind.as_raw_value());
        }
        stopping = true;
        warn!(context.logger, "daemon: planned stop begins"; "signal" => kind.as_raw_value());
        stop.send_replace(true);
    }
}
