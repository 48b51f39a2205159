//! Refusals with a truthful outcome (`docs/design.md`, 6).

use std::net::SocketAddr;

use hyper::StatusCode;
use serde::Serialize;

use crate::units::RequestId;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No organisation has the API key, or none was sent on a route that needs one.
    UnknownKey,
    /// The API key was valid on this connection and is no longer.
    KeyWithdrawn,
    /// The manifest has no such pipeline, or the path is not served.
    UnknownPipeline,
    /// The body is not JSON, or a header is not of the documented form.
    MalformedBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller sent the body too slowly.
    BodyTimeout,
    /// The time that the caller or the pipeline allows is over.
    DeadlinePassed,
    /// The pipeline has a non-idempotent stage and the request has no id.
    RequestIdRequired,
    /// No VM issued the id, or it belongs to another request.
    InvalidRequestId,
    /// A copy with the same id runs.
    DuplicateRunning,
    /// The organisation's rate does not allow the request within its deadline.
    RateExceeded,
    /// No owner VM could be asked for a token.
    QuotaUnavailable,
    /// No endpoint had a free slot in time.
    NoCapacity,
    /// This VM cannot tell whether the API key is still valid.
    StaleConfiguration,
    /// This VM is in a planned stop.
    Stopping,
    /// A stage failed and cannot be tried again.
    StageFailed,
    /// A non-idempotent stage, or the request itself, may or may not have run.
    OutcomeUnknown,
}

impl RefusalCode {
    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownKey | Self::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Self::UnknownPipeline => StatusCode::NOT_FOUND,
            Self::MalformedBody | Self::RequestIdRequired | Self::InvalidRequestId => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::DuplicateRunning => StatusCode::CONFLICT,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::QuotaUnavailable
            | Self::NoCapacity
            | Self::StaleConfiguration
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::StageFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the code as callers see it, which is also its metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::UnknownPipeline => "unknown_pipeline",
            Self::MalformedBody => "malformed_body",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::DeadlinePassed => "deadline_passed",
            Self::RequestIdRequired => "request_id_required",
            Self::InvalidRequestId => "invalid_request_id",
            Self::DuplicateRunning => "duplicate_running",
            Self::RateExceeded => "rate_exceeded",
            Self::QuotaUnavailable => "quota_unavailable",
            Self::NoCapacity => "no_capacity",
            Self::StaleConfiguration => "stale_configuration",
            Self::Stopping => "stopping",
            Self::StageFailed => "stage_failed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// Whether the request can have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No stage ran, and none will under this id.
    NotRun,
    /// A stage may have run.
    Unknown,
}

/// A refusal as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// The reason as a fixed word.
    pub code: RefusalCode,
    /// The reason for people.
    pub message: String,
    /// Whether the request can have had an effect.
    pub outcome: Outcome,
    /// The request's id, when it has one.
    pub request_id: Option<RequestId>,
    /// Another VM to ask, on a planned stop.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}

impl Refusal {
    /// Makes a refusal of a request of which nothing has run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            request_id: None,
            address: None,
        }
    }

    /// Makes a refusal of a request that may have had an effect.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Adds the request's id.
    pub fn with_id(self, id: &RequestId) -> Self {
        Self {
            request_id: Some(id.clone()),
            ..self
        }
    }

    /// Returns the JSON document that callers get.
    pub fn to_json(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Document<'a> {
            error: &'a Refusal,
        }
        // Only a map with keys that are not text can fail, and there is none.
        serde_json::to_vec(&Document { error: self }).unwrap_or_default()
    }
}
