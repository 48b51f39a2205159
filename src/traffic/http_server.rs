//! Accepts connections and serves HTTP/1 on them until they are closed for a planned stop.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::traffic::api_key::ConnectionApiKeys;
use crate::traffic::http_body::Answer;
use crate::traffic::state::Traffic;

/// Pause after a failed accept. An accept usually fails because file descriptors ran out.
const ACCEPT_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Serves the connections of one listener.
pub struct Server {
    traffic: Arc<Traffic>,
    connections: TaskTracker,
    close: CancellationToken,
}

impl Server {
    /// Makes a server without connections.
    pub fn new(traffic: &Arc<Traffic>) -> Self {
        Self {
            traffic: Arc::clone(traffic),
            connections: TaskTracker::new(),
            close: CancellationToken::new(),
        }
    }

    /// Accepts connections and passes their requests to `handle`, for as long as the returned
    /// future is polled. At the connection limit it waits until a connection ends.
    pub async fn accept<F>(
        &self,
        listener: &TcpListener,
        handle: impl Fn(Arc<Traffic>, Arc<ConnectionApiKeys>, Request<Incoming>) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    ) where
        F: Future<Output = Answer> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.traffic.config.connection_limit));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let logger = &self.traffic.context.logger;
                    warn!(logger, "traffic: a connection was not accepted: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            let connection = serve_connection(
                Arc::clone(&self.traffic),
                stream,
                handle.clone(),
                self.close.clone(),
            );
            self.connections.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }

    /// Closes each connection after its running request, and waits until all are closed.
    pub async fn finish(&self) {
        self.close.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn serve_connection<F>(
    traffic: Arc<Traffic>,
    stream: TcpStream,
    handle: impl Fn(Arc<Traffic>, Arc<ConnectionApiKeys>, Request<Incoming>) -> F,
    close: CancellationToken,
) where
    F: Future<Output = Answer> + Send + 'static,
{
    // Without this, a small answer waits until the caller acknowledges the one before it.
    let _ = stream.set_nodelay(true);
    let api_keys = Arc::new(ConnectionApiKeys::default());
    let service = service_fn(|request| {
        let answer = handle(Arc::clone(&traffic), Arc::clone(&api_keys), request);
        let traffic = Arc::clone(&traffic);
        async move {
            let mut answer = answer.await;
            if traffic.is_stopping() {
                // Tells the caller to send no further request on this connection, because such a
                // request would be cut off when the connection closes (P10).
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(traffic.config.header_read_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let close_requested = async {
        tokio::select! {
            () = close.cancelled() => {}
            () = api_key_withdrawn(&traffic, &api_keys) => {}
        }
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        () = close_requested => {}
    }
    // Takes no further request and closes the connection when the running one ended.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until an API key that was accepted on the connection is withdrawn.
async fn api_key_withdrawn(traffic: &Traffic, api_keys: &ConnectionApiKeys) {
    let mut changes = traffic.api_key_checks.clone();
    loop {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
        if api_keys.any_withdrawn(&traffic.context.snapshot.load()) {
            return;
        }
    }
}
