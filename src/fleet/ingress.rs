//! Listeners of a VM for callers, the address directory, readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use slog::warn;
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::decisions::caller_memory::CallerBounds;
use crate::fleet::caller_connection::{self, ConnectionContext, DEFAULT_LIMITS};
use crate::fleet::caller_memory::{CallerAccount, CallerAccounts, caller_bounds, side_bounds};
use crate::fleet::model::CallerLimits;
use crate::fleet::node::Node;
use crate::fleet::reply::{Reply, text, whole_body};
use crate::fleet::request::serve_request;
use crate::fleet::view::FleetView;
use crate::platform::directory::{
    DIRECTORY_PATH, READINESS_PATH, caller_data_centre, encode_addresses,
};

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Maximum time for which callers may use the addresses of an answer. It is short so that callers
/// soon stop using a dead VM.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Minimum number of VMs in the caller's data centre for an answer without VMs of other data
/// centres.
const MIN_LOCAL_ADDRESSES: usize = 2;
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Length of the queue of connections that were not accepted yet. A full queue delays callers by
/// seconds.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Time for which a closing listener still accepts the connections whose handshake had begun: a round
/// trip between distant data centres.
const HANDSHAKE_PERIOD: Duration = Duration::from_millis(100);
/// Packet filter that drops SYN packets and passes all others: loads the flags of the TCP header, tests
/// SYN, and returns how many bytes of the packet to keep.
const DROP_SYN_FILTER: [SockFilter; 4] = [
    SockFilter::new(0x30, 0, 0, 13),
    SockFilter::new(0x45, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// How far a planned stop has got, for the listeners.
#[derive(Debug, Clone, Default)]
pub struct Closing {
    /// Once it is cancelled, each connection closes after its current or first request.
    pub connections: CancellationToken,
    /// Once it is cancelled, no further connections are accepted.
    pub listeners: CancellationToken,
}

/// Binds a listener with a long queue of connections that were not accepted yet.
///
/// # Errors
///
/// Returns why the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves requests of callers.
pub async fn serve_callers(node: Arc<Node>, listener: TcpListener, closing: Closing) {
    let handle = |node: Arc<Node>, request| serve_request(node, request);
    let counting = Arc::clone(&node);
    let count = move || {
        counting
            .accepted_connections
            .fetch_add(1, Ordering::Relaxed);
    };
    let accounts = accounts(&node, "callers", |bounds| bounds);
    accept(node, accounts, listener, closing, count, handle).await;
}

/// Opens the accounts of a listener; `None` if the settings name no bounds.
pub fn accounts(
    node: &Node,
    listener: &'static str,
    bounds: impl Fn(CallerBounds) -> CallerBounds,
) -> Option<Arc<CallerAccounts>> {
    let bounds = bounds(caller_bounds(&node.settings)?);
    Some(CallerAccounts::new(listener, bounds, node.logger.clone()))
}

/// Serves the address directory, which tells callers which VMs to use.
pub async fn serve_directory(node: Arc<Node>, listener: TcpListener, closing: Closing) {
    let handle = |node: Arc<Node>, request: Request<Incoming>| async move {
        if request.uri().path() != DIRECTORY_PATH {
            return text(StatusCode::NOT_FOUND, "no such call");
        }
        address_answer(&node, request.uri().query().unwrap_or_default())
    };
    let accounts = accounts(&node, "directory", side_bounds);
    accept(node, accounts, listener, closing, || {}, handle).await;
}

/// Serves the readiness check, which says whether this VM takes requests.
pub async fn serve_readiness(node: Arc<Node>, listener: TcpListener, closing: Closing) {
    let handle = |node: Arc<Node>, request: Request<Incoming>| async move {
        if request.uri().path() != READINESS_PATH {
            return text(StatusCode::NOT_FOUND, "no such call");
        }
        if node.is_stopping() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if node.view().configuration.is_none() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration");
        }
        text(StatusCode::OK, "ready")
    };
    let accounts = accounts(&node, "readiness", side_bounds);
    accept(node, accounts, listener, closing, || {}, handle).await;
}

/// Serves the metrics in the text format of Prometheus.
pub async fn serve_metrics(
    node: Arc<Node>,
    listener: TcpListener,
    closing: Closing,
    metrics: PrometheusHandle,
) {
    let handle = move |_node: Arc<Node>, _request: Request<Incoming>| {
        let metrics = metrics.clone();
        async move {
            metrics.run_upkeep();
            text(StatusCode::OK, &metrics.render())
        }
    };
    let accounts = accounts(&node, "metrics", side_bounds);
    accept(node, accounts, listener, closing, || {}, handle).await;
}

/// Returns the answer of the address directory for a query.
fn address_answer(node: &Node, query: &str) -> Reply {
    let view = node.view();
    if !view.has_met_fleet {
        // Callers keep the addresses that they have, or ask another VM. With the few that this VM knows,
        // they would all gather there.
        return text(StatusCode::SERVICE_UNAVAILABLE, "this VM has just started");
    }
    let port = node.settings.caller_address.port();
    let list = directory_addresses(&view, caller_data_centre(query).as_deref(), port);
    if list.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no VM takes requests");
    }
    let ttl = MAX_ADDRESS_TTL.min(node.settings.max_address_ttl);
    let body = encode_addresses(&list, ttl.as_secs_f64());
    let mut reply = Reply::new(whole_body(body));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Returns the addresses that a caller in a data centre should use: the VMs of that data centre, or
/// all VMs if it has too few.
pub fn directory_addresses(
    view: &FleetView,
    data_centre: Option<&str>,
    port: u16,
) -> Vec<SocketAddr> {
    let is_local = |name: &str| Some(name) == data_centre;
    let all = || view.vms.values();
    let count = all().filter(|vm| is_local(vm.data_centre.as_str())).count();
    let chosen =
        all().filter(|vm| count < MIN_LOCAL_ADDRESSES || is_local(vm.data_centre.as_str()));
    chosen
        .take(MAX_ADDRESSES)
        .map(|vm| SocketAddr::from((vm.ip, port)))
        .collect()
}

/// Accepts connections until the planned stop closes the listener, and serves each one in its own task.
/// `count` is called for each.
///
/// A connection that waits in the kernel when its listener closes is reset, although its caller may have
/// sent a whole request. So new handshakes are stopped first: those that have begun get the time to end,
/// and all connections are accepted before the close.
async fn accept<F>(
    node: Arc<Node>,
    accounts: Option<Arc<CallerAccounts>>,
    listener: TcpListener,
    closing: Closing,
    count: impl Fn(),
    handle: impl Fn(Arc<Node>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let serve = |stream, caller| {
        let account = match &accounts {
            None => CallerAccount::unlimited(),
            // Dropped unread, so that its caller may send the request elsewhere.
            Some(accounts) => match accounts.connect(caller) {
                Some(account) => account,
                None => return,
            },
        };
        count();
        let connection = OpenConnection::new(&node);
        let closing = closing.connections.clone();
        let served = serve_connection(Arc::clone(&node), account, stream, closing, handle.clone());
        tokio::spawn(async move {
            served.await;
            drop(connection);
        });
    };
    let mut close_at = None;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing.listeners.cancelled(), if close_at.is_none() => {
                if let Err(error) = SockRef::from(&listener).attach_filter(&DROP_SYN_FILTER) {
                    warn!(node.logger, "callers: new handshakes cannot be stopped: {error}");
                }
                close_at = Some(Instant::now() + HANDSHAKE_PERIOD);
                continue;
            }
            () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => break,
        };
        match accepted {
            Ok((stream, caller)) => serve(stream, caller),
            Err(error) => {
                warn!(
                    node.logger,
                    "callers: a connection was not accepted: {error}"
                );
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
    // The runtime may not know yet of connections that have come since it last asked the kernel.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, caller)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            serve(stream, caller);
        }
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<Node>);

impl OpenConnection {
    fn new(node: &Arc<Node>) -> Self {
        node.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(node))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves the requests of one connection until it closes.
async fn serve_connection<F>(
    node: Arc<Node>,
    account: CallerAccount,
    stream: TcpStream,
    closing: CancellationToken,
    handle: impl Fn(Arc<Node>, Request<Incoming>) -> F,
) where
    F: Future<Output = Reply>,
{
    let context = ConnectionContext {
        logger: node.logger.clone(),
        limits: || caller_limits(&node),
        stopping: node.stopping.clone(),
        closing,
        cut_off: node.cut_off.clone(),
        account,
    };
    let handle = |request| handle(Arc::clone(&node), request);
    caller_connection::serve_connection(stream, context, handle).await;
}

/// Returns the limits in force.
fn caller_limits(node: &Node) -> CallerLimits {
    let view = node.view.borrow();
    let configuration = view.configuration.as_ref();
    configuration.map_or(DEFAULT_LIMITS, |configuration| configuration.limits)
}
