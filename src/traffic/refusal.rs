//! Refusals that callers get, each with whether the request may have run (`docs/design.md`, 6).

use std::net::SocketAddr;

use hyper::StatusCode;
use serde::Serialize;

use crate::units::RequestId;

/// Reason why a request was refused or ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No organisation has the API key, or none was sent to a pipeline that needs one.
    UnknownKey,
    /// The API key was valid earlier on this connection or during this request, but no longer is.
    KeyWithdrawn,
    /// The manifest has no such pipeline, or the path is not served.
    UnknownPipeline,
    /// The body is not JSON, or a header is not of the documented form.
    MalformedBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller sent the body too slowly.
    BodyTimeout,
    /// The deadline of the caller or of the pipeline passed.
    DeadlinePassed,
    /// The pipeline has a non-idempotent stage and the request has no id.
    RequestIdRequired,
    /// No VM issued the id, or it belongs to another request.
    InvalidRequestId,
    /// Another request with the same id is running.
    DuplicateRunning,
    /// The organisation's rate does not allow the request within its deadline.
    RateExceeded,
    /// No VM that owns the organisation's allowance could be asked for a token, or none granted
    /// one in time.
    QuotaUnavailable,
    /// No endpoint had a free slot in time, no VM takes requests, or the request id table is
    /// full.
    NoCapacity,
    /// This VM's configuration is missing or too old to tell whether the API key is valid.
    StaleConfiguration,
    /// This VM takes no new work: a planned stop began or its data centre is out of service.
    Stopping,
    /// A stage failed and cannot be retried.
    StageFailed,
    /// It is unknown whether a non-idempotent stage, or the request itself, ran.
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

    /// Returns the code as it stands in answers and in the metric label `code`.
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

/// Whether a refused request may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No stage ran, and no stage will run under this id.
    NotRun,
    /// A stage may have run, or may still run.
    Unknown,
}

/// Why a request got no result, as sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Reason for programs, as one of a fixed set of codes.
    pub code: RefusalCode,
    /// Reason for people, as text.
    pub message: String,
    /// Whether the request may have had an effect.
    pub outcome: Outcome,
    /// Id of the request; `None` if it has no id.
    pub request_id: Option<RequestId>,
    /// Caller address of another VM to use, when this VM takes no new work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}

impl Refusal {
    /// Makes a refusal of a request of which no stage has run.
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

    /// Returns the refusal with the id of its request.
    pub fn with_id(self, id: &RequestId) -> Self {
        Self {
            request_id: Some(id.clone()),
            ..self
        }
    }

    /// Returns the JSON document that is sent to the caller.
    pub fn to_json(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Document<'a> {
            error: &'a Refusal,
        }
        // Serialisation fails only for a map whose keys are not text, and there is no map here.
        serde_json::to_vec(&Document { error: self }).unwrap_or_default()
    }
}
