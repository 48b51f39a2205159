//! HTTP calls that the tests make as callers, as operators and to control the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use primrosewalk::http::{self, Call};
use serde_json::Value;

/// Timeout for the head of an answer and again for its body.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a GET request and returns the JSON document of the answer.
pub async fn get_json(address: SocketAddr, path: &str) -> anyhow::Result<Value> {
    let (_, body) = http::fetch(&Call::get(address, path, TIMEOUT), TIMEOUT).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a POST request without a body and panics unless the status is a success.
pub async fn post(address: SocketAddr, path: &str) {
    let mut call = Call::get(address, path, TIMEOUT);
    call.method = Method::POST;
    let (status, body) = http::fetch(&call, TIMEOUT).await.unwrap();
    assert!(
        status.is_success(),
        "POST {path} to {address} was answered with {status}: {}",
        String::from_utf8_lossy(&body)
    );
}

/// Complete or refused answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body of the answer, `Null` if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns the error code of a refusal, or an empty string if the request succeeded.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the outcome that a refusal states, or an empty string if the request succeeded.
    pub fn outcome(&self) -> &str {
        self.body["error"]["outcome"].as_str().unwrap_or_default()
    }

    /// Returns whether the request succeeded and its answer has an output.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && !self.body["output"].is_null()
    }
}

/// Caller that sends requests with one API key.
#[derive(Debug, Clone)]
pub struct Caller {
    api_key: String,
}

impl Caller {
    /// Creates a caller with an API key.
    pub fn new(api_key: &str) -> Self {
        Self {
            api_key: api_key.to_owned(),
        }
    }

    /// Asks a VM for a new request id, whose owner is that VM.
    pub async fn request_id(&self, vm: SocketAddr) -> String {
        let headers = [("x-key", self.api_key.as_str())];
        let mut call = Call::get(vm, "/v1/request-ids", TIMEOUT);
        call.method = Method::POST;
        call.headers = &headers;
        let (_, body) = http::fetch(&call, TIMEOUT).await.unwrap();
        let answer: Value = serde_json::from_slice(&body).unwrap();
        answer["request_id"].as_str().unwrap().to_owned()
    }

    /// Sends a request with additional headers and returns its answer. An error means that the
    /// connection failed or timed out.
    pub async fn send(
        &self,
        vm: SocketAddr,
        pipeline: &str,
        headers: &[(&str, &str)],
        input: &Value,
    ) -> anyhow::Result<Answer> {
        let mut all_headers = vec![
            ("x-key", self.api_key.as_str()),
            ("content-type", "application/json"),
        ];
        all_headers.extend_from_slice(headers);
        let path = format!("/v1/pipelines/{pipeline}");
        let call = Call {
            address: vm,
            own_ip: None,
            method: Method::POST,
            path: &path,
            headers: &all_headers,
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
