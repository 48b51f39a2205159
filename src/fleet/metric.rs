//! Records the metrics of a VM under their names.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use crate::decisions::endpoint_choice::AttemptEnd;

/// Counts a caller's request by its outcome and status, and records the time until its answer.
pub fn request_ended(outcome: &'static str, status: u16, took: Duration) {
    counter!("primrosewalk_requests_total", "outcome" => outcome, "status" => status.to_string())
        .increment(1);
    histogram!("primrosewalk_request_seconds", "outcome" => outcome).record(took.as_secs_f64());
}

/// Counts an attempt, which is a request sent to an endpoint, by how it ended.
pub fn attempt_ended(end: AttemptEnd) {
    let end = match end {
        AttemptEnd::Answered(_) => "answered",
        AttemptEnd::Error => "error",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Full => "full",
        AttemptEnd::Inconclusive => "cancelled",
    };
    counter!("primrosewalk_attempts_total", "end" => end).increment(1);
}

/// Counts a failed attempt to connect to an endpoint.
pub fn connection_failed() {
    counter!("primrosewalk_attempts_total", "end" => "no_connection").increment(1);
}

/// Records the duration of a stage of a request.
pub fn stage_ended(took: Duration) {
    histogram!("primrosewalk_stage_seconds").record(took.as_secs_f64());
}

/// Sets the number of callers' requests in progress.
pub fn active_requests(count: usize) {
    gauge!("primrosewalk_active_requests").set(count as f64);
}
