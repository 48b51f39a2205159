//! Copies of requests whose id another VM owns (`docs/design.md`, 3.4 and 5).
//!
//! The copy goes to the owner once. Whatever keeps its answer away leaves the outcome
//! unknown, because an earlier copy may have run there.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use slog::info;
use tokio::net::TcpStream;

use crate::clock;
use crate::traffic::api_key::{self, API_KEY_HEADER};
use crate::traffic::caller::{Checked, DEADLINE_HEADER, ID_HEADER, error_event};
use crate::traffic::http_body::{self, Answer};
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::state::Traffic;
use crate::units::{RequestId, VmId};

/// Names the VM that forwarded a copy, so that it is not forwarded again.
pub const FORWARDED_HEADER: &str = "x-forwarded-by";

/// Sends a copy to the owner of its id and relays the answer.
pub async fn forward(
    traffic: &std::sync::Arc<Traffic>,
    id: &RequestId,
    owner: &VmId,
    checked: Checked,
) -> Answer {
    let unknown = |message: &str| {
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message).with_id(id);
        info!(traffic.context.logger, "once: not forwarded: {message}"; "request" => %id);
        http_body::refusal(&refusal)
    };
    if checked.parts.headers.contains_key(FORWARDED_HEADER) {
        return unknown("the copy was forwarded to a VM that does not own its id");
    }
    let snapshot = traffic.context.snapshot.load_full();
    let entry = snapshot.vms.vms.iter().find(|vm| vm.id == *owner);
    let Some(address) = entry.map(|vm| vm.caller_address) else {
        return unknown("the VM that issued the id is gone");
    };
    let caller = checked.caller.clone();
    // The owner answers by the deadline itself; this limit is for an owner that hangs.
    let limit = checked.deadline.since(clock::now()) + std::time::Duration::from_millis(250);
    let exchange = tokio::time::timeout(limit, send(traffic, id, address, &checked));
    let response = tokio::select! {
        response = exchange => response,
        code = api_key::lost(traffic, &caller) => {
            let refusal = Refusal::unknown(code, "the key no longer holds").with_id(id);
            return http_body::refusal(&refusal);
        }
    };
    match response {
        Ok(Ok(response)) => relay(traffic, id, caller, response).await,
        Ok(Err(error)) => unknown(&format!(
            "the VM that issued the id did not answer: {error}"
        )),
        Err(_) => unknown("the VM that issued the id did not answer in time"),
    }
}

async fn send(
    traffic: &Traffic,
    id: &RequestId,
    address: SocketAddr,
    checked: &Checked,
) -> anyhow::Result<Response<Incoming>> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(traffic.config.connect_timeout, connect).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // The error also reaches whoever waits for the answer.
        let _ = connection.await;
    });
    let left = checked.deadline.since(clock::now());
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(checked.parts.uri.path())
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(ID_HEADER, id.to_string())
        .header(DEADLINE_HEADER, left.as_millis().to_string())
        .header(FORWARDED_HEADER, traffic.context.vm.as_str());
    for name in [API_KEY_HEADER, ACCEPT.as_str()] {
        if let Some(value) = checked.parts.headers.get(name) {
            request = request.header(name, value);
        }
    }
    let request = request.body(Full::new(checked.body.clone()))?;
    Ok(sender.send_request(request).await?)
}

async fn relay(
    traffic: &std::sync::Arc<Traffic>,
    id: &RequestId,
    caller: api_key::Caller,
    response: Response<Incoming>,
) -> Answer {
    let (head, body) = response.into_parts();
    let content_type = head.headers.get(CONTENT_TYPE);
    let is_stream = content_type.is_some_and(|value| value == "text/event-stream");
    if is_stream {
        let traffic = std::sync::Arc::clone(traffic);
        return relay_stream(traffic, id.clone(), caller, body);
    }
    let limit_bytes = traffic.config.answer_limit_bytes;
    match Limited::new(body, limit_bytes).collect().await {
        Ok(body) => http_body::whole(head.status, "application/json", body.to_bytes()),
        Err(error) => {
            let message = format!("the owner's answer broke off: {error}");
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
            http_body::refusal(&refusal.with_id(id))
        }
    }
}

/// Passes the owner's events on; a stream that breaks ends with an `error` event.
fn relay_stream(
    traffic: std::sync::Arc<Traffic>,
    id: RequestId,
    caller: api_key::Caller,
    body: Incoming,
) -> Answer {
    let state = Some((traffic, id, caller, body));
    http_body::events(stream::unfold(state, |state| async {
        let (traffic, id, caller, mut body) = state?;
        let refusal = tokio::select! {
            frame = body.frame() => match frame {
                None => return None,
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    return Some((data, Some((traffic, id, caller, body))));
                }
                Some(Err(error)) => {
                    let message = format!("the owner's stream broke off: {error}");
                    Refusal::unknown(RefusalCode::OutcomeUnknown, message)
                }
            },
            code = api_key::lost(&traffic, &caller) => {
                Refusal::unknown(code, "the key no longer holds")
            }
        };
        // The empty line ends an event that was cut in the middle.
        let mut bytes = b"\n\n".to_vec();
        bytes.extend_from_slice(&error_event(&refusal.with_id(&id)));
        Some((Bytes::from(bytes), None))
    }))
}
