//! Serves callers and operators, and calls endpoints.
//!
//! `docs/design.md`, 3.4 to 3.9 give the rules and section 6 the interfaces. Nothing here
//! writes control state; the control thread publishes snapshots and takes commands.

mod address;
mod admission;
mod api_key;
mod background;
mod caller;
mod cold_starts;
mod config;
mod endpoint_client;
mod forward;
mod http_body;
mod http_server;
mod metric;
mod operator;
mod refusal;
mod request_ids;
mod router_state;
mod run;
pub mod sse;
mod stage;
mod state;
mod token_relay;

use std::sync::Arc;

use anyhow::Context as _;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

pub use address::{AddressAnswer, RequestIdAnswer};
pub use config::TrafficConfig;
pub use endpoint_client::{Execution, error_chain};
pub use refusal::{Outcome, Refusal, RefusalCode};

use crate::blackboard::ControlCommand;
use crate::context::Context;
use crate::traffic::http_server::Server;
use crate::traffic::state::{Traffic, watch_snapshot};

/// Sockets that are bound already, for callers who need to know the ports.
pub struct Listeners {
    /// Where callers connect.
    pub caller: TcpListener,
    /// Where operators connect.
    pub operator: TcpListener,
}

/// Serves callers and operators until `stop` turns true, then refuses new work, lets
/// running requests finish and returns.
///
/// # Errors
///
/// Returns the reason when a listener cannot be bound.
pub async fn serve(
    context: Context,
    config: TrafficConfig,
    commands: mpsc::Sender<ControlCommand>,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let listeners = Listeners {
        caller: bind(config.caller_address, "callers").await?,
        operator: bind(config.operator_address, "operators").await?,
    };
    serve_on(listeners, context, config, commands, stop).await;
    Ok(())
}

/// Does what [`serve`] does on bound sockets.
pub async fn serve_on(
    listeners: Listeners,
    context: Context,
    config: TrafficConfig,
    commands: mpsc::Sender<ControlCommand>,
    stop: watch::Receiver<bool>,
) {
    metric::describe();
    let (senders, signals) = state::snapshot_signals();
    let traffic = Arc::new(Traffic::new(context, config, commands, stop, signals));
    // Dropping the set ends these tasks.
    let mut background = JoinSet::new();
    background.spawn(watch_snapshot(traffic.context.clone(), senders));
    background.spawn(background::serve_queues(Arc::clone(&traffic)));
    background.spawn(background::report_demand(Arc::clone(&traffic)));
    background.spawn(background::expire_ids(Arc::clone(&traffic)));

    let callers = Server::new(&traffic);
    let operators = Server::new(&traffic);
    let serve_callers = async {
        tokio::select! {
            () = callers.accept(&listeners.caller, caller::serve_caller) => {}
            () = drained(&traffic) => {}
        }
        finish(&traffic, &callers).await;
    };
    tokio::select! {
        () = operators.accept(&listeners.operator, operator::serve_operator) => {}
        () = serve_callers => {}
    }
}

/// Lets callers read their answers to the end.
async fn finish(traffic: &Traffic, callers: &Server) {
    let all_ended = async {
        callers.finish().await;
        traffic.runs.wait().await;
    };
    let finished = tokio::time::timeout(traffic.config.drain_limit, all_ended).await;
    if finished.is_err() {
        let logger = &traffic.context.logger;
        slog::warn!(
            logger,
            "traffic: closed connections that did not end in time"
        );
    }
}

async fn bind(address: std::net::SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("cannot listen for {whom} on {address}"))
}

/// Waits for a planned stop and then for the end of all running requests.
async fn drained(traffic: &Traffic) {
    let mut stop = traffic.stop.clone();
    if stop.wait_for(|stopping| *stopping).await.is_err() {
        // Whoever could ask for a stop is gone, so the daemon is ending anyway.
        info!(traffic.context.logger, "traffic: the stop signal is gone");
    }
    info!(traffic.context.logger, "traffic: refusing new work";
        "running" => traffic.runs.len());
    traffic.runs.close();
    tokio::join!(
        traffic.runs.wait(),
        tokio::time::sleep(traffic.config.stop_linger)
    );
    info!(traffic.context.logger, "traffic: all requests ended");
}
