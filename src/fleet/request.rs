//! Serves one request of a caller: admits it, then runs it on the plain or the streaming path.
//!
//! `docs/platform.md`, "Requests" describes the sequence.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use slog::info;

use crate::clock;
use crate::fleet::admission::{AdmittedRequest, RequestEnd, admit};
use crate::fleet::model::RouteKind;
use crate::fleet::node::Node;
use crate::fleet::reply::Reply;
use crate::fleet::request_progress::Progress;
use crate::fleet::{metric, plain, stream};
use crate::platform::caller::{CallerRequest, decode_caller};
use crate::units::Time;

/// Counts a request as under way until it is dropped.
struct ActiveGuard(Arc<Node>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let before = self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
        metric::active_requests(before.saturating_sub(1));
    }
}

/// Reports a request whose connection ends while it is served.
struct UnansweredGuard {
    node: Arc<Node>,
    id: String,
    arrived_at: Time,
    progress: Arc<Progress>,
    is_answered: bool,
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        // A handler that panics is answered by the connection (`caller_connection`).
        if self.is_answered || std::thread::panicking() {
            return;
        }
        let (cause, wait) = (self.node.loss_cause(), self.progress.waiting_for());
        metric::request_unanswered(cause, wait);
        let took = clock::now().since(self.arrived_at);
        info!(self.node.logger, "request: its connection ended before an answer"; "id" => &self.id,
            "cause" => %cause, "waiting_for" => %wait,
            "stopping" => self.node.is_stopping(), "took_ms" => took.as_millis() as u64);
    }
}

/// Serves one request of a caller.
pub async fn serve_request(node: Arc<Node>, request: Request<Incoming>) -> Reply {
    let active = node.active_requests.fetch_add(1, Ordering::Relaxed);
    metric::active_requests(active + 1);
    let guard = ActiveGuard(Arc::clone(&node));
    let arrived_at = clock::now();
    let caller = decode_caller(request.headers());
    let id = caller.id.clone();
    let progress = Arc::new(Progress::default());
    let mut unanswered = UnansweredGuard {
        node: Arc::clone(&node),
        id: id.clone(),
        arrived_at,
        progress: Arc::clone(&progress),
        is_answered: false,
    };
    let reply = answer(&node, request, caller, arrived_at, progress, guard).await;
    unanswered.is_answered = true;
    reply
}

/// Admits and serves a request, and returns its answer.
async fn answer(
    node: &Arc<Node>,
    request: Request<Incoming>,
    caller: CallerRequest,
    arrived_at: Time,
    progress: Arc<Progress>,
    active: ActiveGuard,
) -> Reply {
    let id = caller.id.clone();
    let has_body = !request.body().is_end_stream();
    let admission = tokio::select! {
        biased;
        admission = admit(node, request, caller, arrived_at, progress) => admission,
        () = node.stop_leaves_less_than(|| Duration::ZERO) => Err(RequestEnd::vm_stops(0)),
    };
    let admitted = match admission {
        Ok(admitted) => Arc::new(admitted),
        Err(mut ended) => {
            if has_body {
                // The rest of the body may still be on its way, and no request can follow it here.
                let close = HeaderValue::from_static("close");
                ended.reply.headers_mut().insert(CONNECTION, close);
            }
            return finish(node, &id, None, arrived_at, ended);
        }
    };
    let ended = match admitted.route.kind {
        RouteKind::Streaming => {
            stream::serve(Arc::clone(node), Arc::clone(&admitted), active).await
        }
        _ => {
            let ended = plain::serve(node, &admitted).await;
            drop(active);
            ended
        }
    };
    finish(node, &id, Some(&admitted), arrived_at, ended)
}

/// Records the metrics and the log line of a request and returns its answer.
fn finish(
    node: &Node,
    id: &str,
    admitted: Option<&AdmittedRequest>,
    arrived_at: Time,
    ended: RequestEnd,
) -> Reply {
    let took = clock::now().since(arrived_at);
    let status = ended.reply.status();
    let outcome = if status.is_success() {
        "answered"
    } else {
        "failed"
    };
    metric::request_ended(outcome, status.as_u16(), ended.source, took);
    info!(node.logger, "request: answered"; "id" => id, "status" => status.as_u16(),
        "source" => ended.source.name(), "reason" => ended.reason, "took_ms" => took.as_millis() as u64,
        "route" => admitted.map_or("", |admitted| &admitted.route.name),
        "configuration" => admitted.map_or(0, |admitted| admitted.configuration_version));
    *ended.reply
}
