//! Requests of callers, and what they get.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use primrosewalk::http::{Call, send};

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Got {
    pub status: u16,
    /// Whether the body ended as complete.
    pub is_whole: bool,
    pub body: String,
    pub is_signed: bool,
    pub retry_after_s: Option<f64>,
}

/// Sends one request of a caller; `None` when the connection ended without an answer.
pub async fn request(vm: SocketAddr, path: &str, id: &str, key: &str) -> Option<Got> {
    request_with(vm, path, id, key, &[], Bytes::from_static(b"{}"), 6_000).await
}

pub async fn request_with(
    vm: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    more: &[(&str, &str)],
    body: Bytes,
    deadline_ms: u64,
) -> Option<Got> {
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
    headers.extend_from_slice(more);
    let call = Call {
        address: vm,
        own_ip: None,
        method: Method::POST,
        path,
        headers: &headers,
        body,
        // A caller that leaves at its deadline would not see the answer that comes then.
        head_timeout: Duration::from_millis(deadline_ms + 800),
    };
    let answer = send(&call).await.ok()?;
    let status = answer.status().as_u16();
    let header = |name: &str| answer.headers().get(name)?.to_str().ok().map(str::to_owned);
    let is_signed = header("response-signature").is_some();
    let retry_after_s = header("retry-after").and_then(|text| text.parse().ok());
    let mut body = answer.into_body();
    let mut bytes = Vec::new();
    let is_whole = loop {
        match tokio::time::timeout(Duration::from_secs(10), body.frame()).await {
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
            Ok(None) => break true,
            Ok(Some(Err(_))) | Err(_) => break false,
        }
    };
    Some(Got {
        status,
        is_whole,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        is_signed,
        retry_after_s,
    })
}
