//! Accepts connections and serves HTTP/1 on them until a planned stop.

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

/// A pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// One listener's connections.
pub struct Server {
    traffic: Arc<Traffic>,
    connections: TaskTracker,
    close: CancellationToken,
}

impl Server {
    /// Starts without connections.
    pub fn new(traffic: &Arc<Traffic>) -> Self {
        Self {
            traffic: Arc::clone(traffic),
            connections: TaskTracker::new(),
            close: CancellationToken::new(),
        }
    }

    /// Accepts connections for as long as it is polled.
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
        let places = Arc::new(Semaphore::new(self.traffic.config.connection_limit));
        loop {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    let logger = &self.traffic.context.logger;
                    warn!(logger, "traffic: a connection was not accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
                drop(place);
            });
        }
    }

    /// Lets each connection finish its request and closes it.
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
    // Small answers must not wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let keys = Arc::new(ConnectionApiKeys::default());
    let service = service_fn(|request| {
        let answer = handle(Arc::clone(&traffic), Arc::clone(&keys), request);
        let traffic = Arc::clone(&traffic);
        async move {
            let mut answer = answer.await;
            if traffic.is_stopping() {
                // A request sent on a connection that closes would be cut (P10).
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
    let closing = async {
        tokio::select! {
            () = close.cancelled() => {}
            () = api_key_withdrawn(&traffic, &keys) => {}
        }
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing => {}
    }
    // A running request ends by itself, and the connection with it.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until an API key that was accepted on the connection is withdrawn.
async fn api_key_withdrawn(traffic: &Traffic, keys: &ConnectionApiKeys) {
    let mut changes = traffic.api_key_checks.clone();
    loop {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
        if keys.any_withdrawn(&traffic.context.snapshot.load()) {
            return;
        }
    }
}
