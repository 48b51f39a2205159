//! Serves callers and operators, and calls endpoints.
//!
//! `docs/design.md` has the rules in sections 3.4 to 3.9 and the interfaces in section 6. This
//! module doesn't write control state: it reads the snapshots that the control thread publishes
//! and sends commands to that thread.

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

/// Listening sockets that are already bound, so that the code that starts the servers knows the
/// ports.
pub struct Listeners {
    /// Socket of the caller interface.
    pub caller: TcpListener,
    /// Socket of the operator interface.
    pub operator: TcpListener,
}

/// Serves callers and operators until `stop` turns true, then refuses new work, lets
/// running requests finish and returns.
///
/// # Errors
///
/// Fails if a listen address cannot be bound.
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

/// Serves callers and operators like [`serve`], on sockets that are already bound.
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
    // These tasks end when the set is dropped, which happens when this function returns.
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
            () = wait_until_drained(&traffic) => {}
        }
        close_connections(&traffic, &callers).await;
    };
    tokio::select! {
        () = operators.accept(&listeners.operator, operator::serve_operator) => {}
        () = serve_callers => {}
    }
}

/// Lets callers read their answers to the end, for at most the drain limit, and closes their
/// connections.
async fn close_connections(traffic: &Traffic, callers: &Server) {
    let all_ended = async {
        callers.finish().await;
        traffic.runs.wait().await;
    };
    let finished = tokio::time::timeout(traffic.config.drain_limit, all_ended).await;
    if finished.is_err() {
        let logger = &traffic.context.logger;
        slog::warn!(
            logger,
            "traffic: closed connections that were still open at the drain limit"
        );
    }
}

async fn bind(address: std::net::SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("cannot listen for {clients} on {address}"))
}

/// Waits for a planned stop, then until all running requests ended and the stop has lasted for
/// at least its minimum duration.
async fn wait_until_drained(traffic: &Traffic) {
    let mut stop = traffic.stop.clone();
    if stop.wait_for(|stopping| *stopping).await.is_err() {
        // The sender of the stop signal was dropped, which happens only when the daemon is ending.
        info!(
            traffic.context.logger,
            "traffic: the sender of the stop signal was dropped; stopping"
        );
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
