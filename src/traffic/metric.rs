//! Names and descriptions of the metrics of requests (`docs/metrics.md`).

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Duration of a request from admission to its end, by `pipeline` and `outcome`.
pub const REQUEST_SECONDS: &str = "primrosewalk_request_seconds";
/// Duration of one stage with its waits and attempts, by `pipeline`, `stage` and `outcome`.
pub const STAGE_SECONDS: &str = "primrosewalk_stage_seconds";
/// Duration of one attempt at an endpoint, by `service` and `outcome`.
pub const ATTEMPT_SECONDS: &str = "primrosewalk_attempt_seconds";
/// Time that a request waited for a slot at an endpoint, by `service`.
pub const SLOT_WAIT_SECONDS: &str = "primrosewalk_slot_wait_seconds";
/// Time that a request waited for a token of its organisation's rate allowance.
pub const QUOTA_WAIT_SECONDS: &str = "primrosewalk_quota_wait_seconds";
/// Number of attempts after the first attempt of a stage, by `service`.
pub const RETRIES_TOTAL: &str = "primrosewalk_retries_total";
/// Number of refusals sent to callers, by `code`.
pub const REFUSALS_TOTAL: &str = "primrosewalk_refusals_total";
/// Number of reports to the control thread that were dropped because its command queue was full.
pub const REPORTS_DROPPED_TOTAL: &str = "primrosewalk_reports_dropped_total";
/// Number of requests that are running.
pub const RUNNING_REQUESTS: &str = "primrosewalk_running_requests";

/// Registers the descriptions with the installed recorder.
pub fn describe() {
    let seconds = Unit::Seconds;
    describe_histogram!(REQUEST_SECONDS, seconds, "Request, admission to end");
    describe_histogram!(STAGE_SECONDS, seconds, "Stage with its waits and attempts");
    describe_histogram!(ATTEMPT_SECONDS, seconds, "One attempt at an endpoint");
    describe_histogram!(SLOT_WAIT_SECONDS, seconds, "Wait for a slot at an endpoint");
    describe_histogram!(QUOTA_WAIT_SECONDS, seconds, "Wait for a token");
    describe_counter!(RETRIES_TOTAL, "Attempts after the first of a stage");
    describe_counter!(REFUSALS_TOTAL, "Refusals given to callers");
    describe_counter!(REPORTS_DROPPED_TOTAL, "Reports that control did not get");
    describe_gauge!(RUNNING_REQUESTS, "Requests that run now");
}
