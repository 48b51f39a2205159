//! Client that sends the requests of callers to a VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use primrosewalk::http::{Call, send};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest body that a caller reads; a longer one counts as incomplete.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Answer that a caller received.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    pub status: u16,
    /// Whether the body arrived up to its regular end.
    pub is_complete: bool,
    pub body: String,
    /// Whether the answer carries the signature header.
    pub is_signed: bool,
    pub retry_after_s: Option<f64>,
}

/// Sends one request with a deadline of 6 s. Returns `None` if no answer arrived: the connection
/// failed or ended, or the client's timeout passed.
pub async fn request(vm: SocketAddr, path: &str, id: &str, key: &str) -> Option<CallerAnswer> {
    request_with(vm, path, id, key, &[], Bytes::from_static(b"{}"), 6_000).await
}

/// Like [`request`], with further headers, a body and a deadline. A further header replaces the usual one
/// of its name.
pub async fn request_with(
    vm: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    extra_headers: &[(&str, &str)],
    body: Bytes,
    deadline_ms: u64,
) -> Option<CallerAnswer> {
    let authorization = format!("Token {key}");
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("host", "h.example"),
        ("request-id", id),
        ("authorization", authorization.as_str()),
        ("deadline-ms", deadline.as_str()),
        ("model", "m"),
        ("token-usage", "120,40"),
        ("prefix-hash", "a1:80,b2:40"),
        ("piece-key", "pk"),
        ("pieces", "2,3"),
    ];
    headers.retain(|(name, _)| !extra_headers.iter().any(|(extra, _)| extra == name));
    headers.extend_from_slice(extra_headers);
    let call = Call {
        address: vm,
        own_ip: None,
        method: Method::POST,
        path,
        headers: &headers,
        body,
        // The VM answers at the deadline itself. A client that closed the connection at its
        // deadline would miss that answer, so it waits 800 ms longer.
        head_timeout: Duration::from_millis(deadline_ms + 800),
    };
    read_answer(send(&call).await.ok()?).await
}

/// Longest time between two parts of an answer.
const ANSWER_GAP: Duration = Duration::from_secs(10);

/// Reads the rest of an answer. It is not complete if the connection ends before the body does.
pub async fn read_answer(answer: Response<Incoming>) -> Option<CallerAnswer> {
    let (answer, _) = read_answer_with_gaps(answer, ANSWER_GAP).await;
    Some(answer)
}

/// Reads the rest of an answer, and leaves it when no part of it comes for `max_gap`. Returns whether it was
/// left, in which case it is not complete.
pub async fn read_answer_with_gaps(
    answer: Response<Incoming>,
    max_gap: Duration,
) -> (CallerAnswer, bool) {
    let status = answer.status().as_u16();
    let header = |name: &str| answer.headers().get(name)?.to_str().ok().map(str::to_owned);
    let is_signed = header("response-signature").is_some();
    let retry_after_s = header("retry-after").and_then(|text| text.parse().ok());
    let mut body = answer.into_body();
    let mut bytes = Vec::new();
    let (is_complete, is_left) = loop {
        if bytes.len() > MAX_BODY_BYTES {
            break (false, false);
        }
        match timeout(max_gap, body.frame()).await {
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
            Ok(None) => break (true, false),
            Ok(Some(Err(_))) => break (false, false),
            Err(_) => break (false, true),
        }
    };
    let answer = CallerAnswer {
        status,
        is_complete,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        is_signed,
        retry_after_s,
    };
    (answer, is_left)
}

/// Caller that sends its requests on one connection for as long as the VM keeps it open, whatever
/// the directory says meanwhile.
#[derive(Default)]
pub struct KeptConnection {
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeptConnection {
    /// Sends a request on the open connection, or on a new one to `vm` if there is none. Returns
    /// `None` if no answer arrived.
    pub async fn request(
        &mut self,
        vm: SocketAddr,
        path: &str,
        id: &str,
        key: &str,
    ) -> Option<CallerAnswer> {
        let mut sender = match self.sender.take() {
            Some(sender) => sender,
            None => connect(vm).await?,
        };
        // The connection takes a request once the end of the answer before has been read. It may
        // also have been closed since.
        if sender.ready().await.is_err() {
            sender = connect(vm).await?;
        }
        let request = Request::post(path)
            .header("host", "h.example")
            .header("request-id", id)
            .header("authorization", format!("Token {key}"))
            .header("deadline-ms", "6000")
            .header("model", "m")
            .header("token-usage", "120,40")
            .header("prefix-hash", "a1:80,b2:40")
            .header("piece-key", "pk")
            .header("pieces", "2,3")
            .body(Full::new(Bytes::from_static(b"{}")))
            .unwrap();
        let answer = timeout(KEPT_TIMEOUT, sender.send_request(request)).await;
        let answer = read_answer(answer.ok()?.ok()?).await;
        self.sender = Some(sender);
        answer
    }
}

/// Time after which a caller gives up a request on a kept connection: the deadline of 6 s and the
/// time in which the VM reports that it has passed.
const KEPT_TIMEOUT: Duration = Duration::from_millis(6_800);

async fn connect(vm: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connecting = timeout(Duration::from_secs(1), TcpStream::connect(vm));
    let stream = connecting.await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The request that waits for its answer gets the error too.
        let _ = connection.await;
    });
    Some(sender)
}
