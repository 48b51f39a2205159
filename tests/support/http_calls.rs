//! Calls that the tests make as callers, operators and controllers of stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use primrosewalk::http::{self, Call};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a JSON document.
pub async fn get_json(address: SocketAddr, path: &str) -> anyhow::Result<Value> {
    let (_, body) = http::fetch(&Call::get(address, path, TIMEOUT), TIMEOUT).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a command without a body, which must be accepted.
pub async fn post(address: SocketAddr, path: &str) {
    let mut call = Call::get(address, path, TIMEOUT);
    call.method = Method::POST;
    let (status, body) = http::fetch(&call, TIMEOUT).await.unwrap();
    assert!(
        status.is_success(),
        "{path}: {status} {}",
        String::from_utf8_lossy(&body)
    );
}

/// What came back for a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body, `Null` if it was not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns the refusal's code, or an empty text for an answer.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the refusal's outcome, or an empty text for an answer.
    pub fn outcome(&self) -> &str {
        self.body["error"]["outcome"].as_str().unwrap_or_default()
    }

    /// Returns whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && !self.body["output"].is_null()
    }
}

/// One caller.
#[derive(Debug, Clone)]
pub struct Caller {
    key: String,
}

impl Caller {
    /// Makes a caller with a key.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
        }
    }

    /// Asks a VM for a request id that the VM will own.
    pub async fn request_id(&self, vm: SocketAddr) -> String {
        let headers = [("x-key", self.key.as_str())];
        let mut call = Call::get(vm, "/v1/request-ids", TIMEOUT);
        call.method = Method::POST;
        call.headers = &headers;
        let (_, body) = http::fetch(&call, TIMEOUT).await.unwrap();
        let answer: Value = serde_json::from_slice(&body).unwrap();
        answer["request_id"].as_str().unwrap().to_owned()
    }

    /// Sends a request with further headers and returns its answer; an error means that the
    /// connection broke.
    pub async fn send(
        &self,
        vm: SocketAddr,
        pipeline: &str,
        headers: &[(&str, &str)],
        input: &Value,
    ) -> anyhow::Result<Answer> {
        let mut all = vec![
            ("x-key", self.key.as_str()),
            ("content-type", "application/json"),
        ];
        all.extend_from_slice(headers);
        let path = format!("/v1/pipelines/{pipeline}");
        let call = Call {
            address: vm,
            own_ip: None,
            method: Method::POST,
            path: &path,
            headers: &all,
            body: Bytes::from(input.to_string()),
            head_timeout: TIMEOUT,
        };
        let (status, body) = http::fetch(&call, TIMEOUT).await?;
        Ok(Answer {
            status: status.as_u16(),
            body: serde_json::from_slice(&body).unwrap_or_default(),
        })
    }
}
