//! Listeners: callers, the address directory, readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::fleet::model::FleetView;
use crate::fleet::node::Node;
use crate::fleet::reply::{Reply, text, whole_body};
use crate::fleet::request::serve_request;
use crate::platform::directory::{
    DIRECTORY_PATH, READINESS_PATH, caller_data_centre, encode_addresses,
};

/// A pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the configured one until an idle connection is closed: callers may use it until
/// then, and a close must not meet a request.
const IDLE_SLACK: Duration = Duration::from_millis(1_500);
/// Idle limit while no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(20);
/// Head size that is accepted while no configuration is known.
const HEADER_BYTES_DEFAULT: usize = 16 * 1024;
/// The request line and line ends beside the headers.
const HEADER_SLACK_BYTES: usize = 8 * 1024;
/// Time for which callers keep addresses: short enough to leave a dead VM soon.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Addresses of the caller's own data centre that suffice to send it nowhere else.
const NEAR_ADDRESSES: usize = 2;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Places in the queue of new connections; a full queue delays callers by seconds.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Binds a listener with a long queue of new connections.
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

/// Serves callers' requests. Connections close after their request once `closing` is cancelled.
pub async fn serve_callers(node: Arc<Node>, listener: TcpListener, closing: CancellationToken) {
    let handle = |node, request| serve_request(node, request);
    accept(node, listener, closing, handle).await;
}

/// Serves the address directory.
pub async fn serve_directory(node: Arc<Node>, listener: TcpListener, closing: CancellationToken) {
    let handle = |node: Arc<Node>, request: Request<Incoming>| async move {
        if request.uri().path() != DIRECTORY_PATH {
            return text(StatusCode::NOT_FOUND, "no such call");
        }
        addresses(&node, request.uri().query().unwrap_or_default())
    };
    accept(node, listener, closing, handle).await;
}

/// Answers whether the VM takes requests.
pub async fn serve_readiness(node: Arc<Node>, listener: TcpListener, closing: CancellationToken) {
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
    accept(node, listener, closing, handle).await;
}

/// Serves the metrics as text.
pub async fn serve_metrics(
    node: Arc<Node>,
    listener: TcpListener,
    closing: CancellationToken,
    metrics: PrometheusHandle,
) {
    let handle = move |_node: Arc<Node>, _request: Request<Incoming>| {
        let metrics = metrics.clone();
        async move {
            metrics.run_upkeep();
            text(StatusCode::OK, &metrics.render())
        }
    };
    accept(node, listener, closing, handle).await;
}

/// Names the live VMs of the caller's data centre, or all where there are too few of them.
fn addresses(node: &Node, query: &str) -> Reply {
    let view = node.view();
    let port = node.settings.caller_address.port();
    let list = directory_addresses(&view, caller_data_centre(query), port);
    if list.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no VM takes requests");
    }
    let ttl = ADDRESS_TTL.min(node.settings.max_address_ttl);
    let body = encode_addresses(&list, ttl.as_secs_f64());
    let mut reply = Reply::new(whole_body(body));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Returns the addresses that a caller in a data centre should use.
pub fn directory_addresses(
    view: &FleetView,
    data_centre: Option<&str>,
    port: u16,
) -> Vec<SocketAddr> {
    let near = |name: &str| Some(name) == data_centre;
    let all = || view.vms.values();
    let count = all().filter(|vm| near(vm.data_centre.as_str())).count();
    let chosen = all().filter(|vm| count < NEAR_ADDRESSES || near(vm.data_centre.as_str()));
    chosen
        .take(MAX_ADDRESSES)
        .map(|vm| SocketAddr::from((vm.ip, port)))
        .collect()
}

async fn accept<F>(
    node: Arc<Node>,
    listener: TcpListener,
    closing: CancellationToken,
    handle: impl Fn(Arc<Node>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(Arc::clone(&node), stream, closing.clone(), handle.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                warn!(
                    node.logger,
                    "callers: a connection was not accepted: {error}"
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<F>(
    node: Arc<Node>,
    stream: TcpStream,
    closing: CancellationToken,
    handle: impl Fn(Arc<Node>, Request<Incoming>) -> F,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    // Small answers must not wait for the acknowledgement of earlier ones; without the option
    // they are only slower.
    let _ = stream.set_nodelay(true);
    let (idle, header_bytes) = {
        let view = node.view();
        let limits = view.configuration.as_ref().map(|known| known.limits);
        (
            limits.map_or(IDLE_DEFAULT, |limits| limits.idle_timeout + IDLE_SLACK),
            limits.map_or(HEADER_BYTES_DEFAULT, |limits| limits.max_header_bytes),
        )
    };
    let service = service_fn(|request| {
        let answer = handle(Arc::clone(&node), request);
        let node = Arc::clone(&node);
        async move {
            let mut answer = answer.await;
            if node.is_stopping() {
                // The caller's next request belongs to another VM.
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size((header_bytes + HEADER_SLACK_BYTES).max(HEADER_BYTES_DEFAULT))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A caller that breaks its connection has left; its request ends with it.
        _ = connection.as_mut() => return,
        () = closing.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
