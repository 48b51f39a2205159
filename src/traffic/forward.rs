//! Forwards requests to the VM that issued their id (`docs/design.md`, 3.4 and 5).
//!
//! A request is sent to the owner of its id at most once. If no complete answer comes back,
//! the outcome is unknown, because an earlier copy may have run there.

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
use crate::traffic::caller::{CheckedRequest, DEADLINE_HEADER, ID_HEADER, error_event};
use crate::traffic::http_body::{self, Answer};
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::state::Traffic;
use crate::units::{RequestId, VmId};

/// Header that names the VM that forwarded a request, so that the receiver does not forward
/// it again.
pub const FORWARDED_HEADER: &str = "x-forwarded-by";

/// Sends a request to the owner of its id and relays the answer.
pub async fn forward(
    traffic: &std::sync::Arc<Traffic>,
    id: &RequestId,
    owner: &VmId,
    checked: CheckedRequest,
) -> Answer {
    let refuse_unknown = |message: &str| {
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message).with_id(id);
        info!(traffic.context.logger, "once: forwarding failed: {message}"; "request" => %id);
        http_body::refusal(&refusal)
    };
    if checked.parts.headers.contains_key(FORWARDED_HEADER) {
        return refuse_unknown("the copy was forwarded to a VM that does not own its id");
    }
    let snapshot = traffic.context.snapshot.load_full();
    let owner_entry = snapshot.vms.vms.iter().find(|vm| vm.id == *owner);
    let Some(address) = owner_entry.map(|vm| vm.caller_address) else {
        return refuse_unknown("the VM that issued the id is gone");
    };
    let caller = checked.caller.clone();
    // The owner answers by the deadline itself. The timeout is for an owner that hangs.
    let answer_timeout =
        checked.deadline.since(clock::now()) + std::time::Duration::from_millis(250);
    let exchange = tokio::time::timeout(
        answer_timeout,
        send_to_owner(traffic, id, address, &checked),
    );
    let response = tokio::select! {
        response = exchange => response,
        code = api_key::authorisation_lost(traffic, &caller) => {
            let refusal = Refusal::unknown(code, "the key no longer holds").with_id(id);
            return http_body::refusal(&refusal);
        }
        () = traffic.drain_limit_nears() => return refuse_unknown("this VM stops"),
    };
    match response {
        Ok(Ok(response)) => relay_answer(traffic, id, caller, response).await,
        Ok(Err(error)) => refuse_unknown(&format!(
            "the VM that issued the id did not answer: {error}"
        )),
        Err(_) => refuse_unknown("the VM that issued the id did not answer in time"),
    }
}

async fn send_to_owner(
    traffic: &Traffic,
    id: &RequestId,
    address: SocketAddr,
    checked: &CheckedRequest,
) -> anyhow::Result<Response<Incoming>> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(traffic.config.connect_timeout, connect).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // The code that waits for the answer gets this error, too.
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

async fn relay_answer(
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
        Ok(body) => http_body::with_body(head.status, "application/json", body.to_bytes()),
        Err(error) => {
            let message = format!("the owner's answer broke off: {error}");
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
            http_body::refusal(&refusal.with_id(id))
        }
    }
}

/// Relays the owner's events. If the owner's stream breaks or the API key is no longer valid,
/// the caller's stream ends with an `error` event.
fn relay_stream(
    traffic: std::sync::Arc<Traffic>,
    id: RequestId,
    caller: api_key::Caller,
    body: Incoming,
) -> Answer {
    let state = Some((traffic, id, caller, body));
    http_body::event_stream(stream::unfold(state, |state| async {
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
            code = api_key::authorisation_lost(&traffic, &caller) => {
                Refusal::unknown(code, "the key no longer holds")
            }
            () = traffic.drain_limit_nears() => {
                Refusal::unknown(RefusalCode::Stopping, "this VM stops")
            }
        };
        // The empty line ends an event of which only a part arrived.
        let mut bytes = b"\n\n".to_vec();
        bytes.extend_from_slice(&error_event(&refusal.with_id(&id)));
        Some((Bytes::from(bytes), None))
    }))
}
