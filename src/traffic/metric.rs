//! Names and descriptions of the traffic side's metrics (`docs/metrics.md`).

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Time from admission to the end of a request, by `pipeline` and `outcome`.
pub const REQUEST_SECONDS: &str = "primrosewalk_request_seconds";
/// Time of one stage with its waits and attempts, by `pipeline`, `stage` and `outcome`.
pub const STAGE_SECONDS: &str = "primrosewalk_stage_seconds";
/// Time of one attempt at an endpoint, by `service` and `outcome`.
pub const ATTEMPT_SECONDS: &str = "primrosewalk_attempt_seconds";
/// Wait for a slot at an endpoint, by `service`.
pub const SLOT_WAIT_SECONDS: &str = "primrosewalk_slot_wait_seconds";
/// Wait for a token of the organisation's allowance.
pub const QUOTA_WAIT_SECONDS: &str = "primrosewalk_quota_wait_seconds";
/// Attempts after the first of a stage, by `service`.
pub const RETRIES_TOTAL: &str = "primrosewalk_retries_total";
/// Refusals given to callers, by `code`.
pub const REFUSALS_TOTAL: &str = "primrosewalk_refusals_total";
/// Reports to the control thread that were dropped because it was behind.
pub const REPORTS_DROPPED_TOTAL: &str = "primrosewalk_reports_dropped_total";
/// Requests that run now.
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
