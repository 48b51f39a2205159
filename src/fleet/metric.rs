//! Records the metrics of a VM under their names.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep_until};

use crate::decisions::endpoint_choice::AttemptEnd;
use crate::decisions::revision_lag::StoreProgress;
use crate::decisions::stage_groups::GroupId;
use crate::decisions::work_order::MAX_PRIORITY;
use crate::fleet::admission::AnswerSource;
use crate::fleet::request_progress::{LossCause, Wait};
use crate::units::StorePosition;

/// Counts a caller's request by its outcome, its status and whose answer it got, and records the time until its
/// answer.
pub fn request_ended(outcome: &'static str, status: u16, source: AnswerSource, took: Duration) {
    counter!("primrosewalk_requests_total", "outcome" => outcome, "status" => status.to_string(),
        "source" => source.name())
    .increment(1);
    histogram!("primrosewalk_request_seconds", "outcome" => outcome).record(took.as_secs_f64());
}

/// Counts a refusal of an endpoint, by its status and by whether it states that the request has not run.
pub fn endpoint_refused(status: u16, states_not_run: bool) {
    counter!("primrosewalk_endpoint_refusals_total", "status" => status.to_string(),
        "states_not_run" => if states_not_run { "yes" } else { "no" })
    .increment(1);
}

/// Counts a request that is held because this VM has no configuration yet.
pub fn request_held() {
    counter!("primrosewalk_held_requests_total").increment(1);
}

/// Counts a caller's whole request that ended without a whole answer or a refusal, by its cause and by what
/// it waited for.
pub fn request_unanswered(cause: LossCause, wait: Wait) {
    let labels = [("cause", cause.name()), ("waiting_for", wait.name())];
    counter!("primrosewalk_unanswered_requests_total", &labels).increment(1);
}

/// Counts a connection of a caller that this VM closed while no request was in progress.
pub fn connection_closed(reason: &'static str) {
    counter!("primrosewalk_closed_connections_total", "reason" => reason).increment(1);
}

/// Counts a connection or request that a listener refused to keep within the bounds of the machine.
pub fn caller_refused(listener: &'static str, reason: &'static str) {
    let labels = [("listener", listener), ("reason", reason)];
    counter!("primrosewalk_bound_refusals_total", &labels).increment(1);
}

/// How a stream to a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// All events were relayed.
    Complete,
    /// It was cut off at its deadline.
    Deadline,
    /// It was cut off because its engine was silent and no other one went on with it.
    Silent,
    /// It was cut off because its engine broke it off and no other one went on with it.
    Broken,
}

impl StreamEnd {
    /// Returns why the caller did not get the whole stream; `None` if it did.
    pub fn loss_cause(self) -> Option<LossCause> {
        match self {
            Self::Complete => None,
            Self::Deadline => Some(LossCause::Deadline),
            Self::Silent | Self::Broken => Some(LossCause::Endpoint),
        }
    }
}

/// Counts a stream by how it ended.
pub fn stream_ended(end: StreamEnd) {
    let end = match end {
        StreamEnd::Complete => "complete",
        StreamEnd::Deadline => "deadline",
        StreamEnd::Silent => "silent",
        StreamEnd::Broken => "broken",
    };
    counter!("primrosewalk_streams_total", "end" => end).increment(1);
}

/// Counts an attempt, which is a request sent to an endpoint, by how it ended.
pub fn attempt_ended(end: AttemptEnd) {
    let end = match end {
        AttemptEnd::Answered(_) => "answered",
        AttemptEnd::Error => "error",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Full => "full",
        AttemptEnd::UnconfirmedRefusal => "unconfirmed_refusal",
        AttemptEnd::Inconclusive => "cancelled",
    };
    counter!("primrosewalk_attempts_total", "end" => end).increment(1);
}

/// Interval at which the load of a thread is measured.
const THREAD_PERIOD: Duration = Duration::from_secs(1);

/// Measures how busy the current thread's runtime is, and how late its timers are: the time that a
/// ready task waits for the thread.
pub async fn measure_thread(thread: &'static str) {
    let runtime = Handle::current().metrics();
    let mut next = Instant::now() + THREAD_PERIOD;
    loop {
        sleep_until(next).await;
        let delay = next.elapsed();
        next = Instant::now() + THREAD_PERIOD;
        let busy = runtime.worker_total_busy_duration(0);
        histogram!("primrosewalk_thread_delay_seconds", "thread" => thread)
            .record(delay.as_secs_f64());
        counter!("primrosewalk_thread_busy_milliseconds_total", "thread" => thread)
            .absolute(busy.as_millis() as u64);
    }
}

/// Counts a task that panicked.
pub fn task_failed(task: &'static str) {
    counter!("primrosewalk_failed_tasks_total", "task" => task).increment(1);
}

/// Counts a call to the platform's store by what it asks for.
pub fn store_called(call: &'static str) {
    counter!("primrosewalk_store_calls_total", "call" => call).increment(1);
}

/// Counts a call that did not complete a listing of the platform's store, by what kept it from doing so.
pub fn listing_failed(cause: &'static str) {
    counter!("primrosewalk_store_listing_failures_total", "cause" => cause).increment(1);
}

/// Counts a change of an item of the platform's store that cannot be used, by what the item should describe.
pub fn item_unreadable(kind: &'static str) {
    counter!("primrosewalk_unreadable_items_total", "kind" => kind).increment(1);
}

/// Sets how far this VM has followed the platform's store; the era of a store that states none is 0.
pub fn store_known(progress: &StoreProgress) {
    let StorePosition { era, revision } = progress.position;
    gauge!("primrosewalk_store_era").set(era.unwrap_or_default().0 as f64);
    gauge!("primrosewalk_store_revision").set(revision as f64);
    gauge!("primrosewalk_configuration_version").set(progress.configuration_version as f64);
}

/// Records the time between two words of the store, from itself or from a relay.
pub fn store_word_gap(gap: Duration) {
    histogram!("primrosewalk_store_word_gap_seconds").record(gap.as_secs_f64());
}

/// Records how long a change took at most from the store to this VM, by the way on which it came.
pub fn store_change_arrived(way: &'static str, at_most: Duration) {
    histogram!("primrosewalk_store_change_seconds", "through" => way).record(at_most.as_secs_f64());
}

/// Counts an answer of the store, or word of it from another VM, that was not applied.
pub fn store_word_dropped(reason: &'static str) {
    counter!("primrosewalk_store_words_dropped_total", "reason" => reason).increment(1);
}

/// Records how long a stage job waited in a queue of this VM until its first items were sent.
pub fn job_waited(wait: Duration) {
    histogram!("primrosewalk_stage_wait_seconds").record(wait.as_secs_f64());
}

/// Records the number of items in a call to a stage endpoint.
pub fn batch_sent(items: usize) {
    histogram!("primrosewalk_stage_batch_items").record(items as f64);
}

/// Counts a stage job that a queue of this VM turned away, by what became of it.
pub fn job_turned_away(reason: &'static str) {
    counter!("primrosewalk_stage_jobs_turned_away_total", "reason" => reason).increment(1);
}

/// Returns the label of a priority.
fn priority_label(priority: Option<u8>) -> String {
    priority.map_or_else(
        || "none".to_owned(),
        |priority| priority.min(MAX_PRIORITY).to_string(),
    )
}

/// Counts a stage job that a queue of this VM refused because more urgent work fills its time.
pub fn job_refused_early(priority: Option<u8>) {
    let priority = priority_label(priority);
    counter!("primrosewalk_stage_jobs_refused_early_total", "priority" => priority).increment(1);
}

/// Records the number of items that wait in a queue of this VM by priority.
pub fn items_waiting(group: &GroupId, waiting: impl Iterator<Item = (Option<u8>, usize)>) {
    for (priority, items) in waiting {
        let labels = [
            ("group", group.to_string()),
            ("priority", priority_label(priority)),
        ];
        gauge!("primrosewalk_stage_waiting_items", &labels).set(items as f64);
    }
}

/// Counts a message between VMs and its bytes, by what it carries.
pub fn peer_message(direction: &'static str, kind: &'static str, bytes: usize) {
    let labels = [("direction", direction), ("kind", kind)];
    counter!("primrosewalk_peer_messages_total", &labels).increment(1);
    counter!("primrosewalk_peer_bytes_total", &labels).increment(bytes as u64);
}

/// Counts a message to another VM that does not fit a frame.
pub fn peer_message_too_large(kind: &'static str) {
    counter!("primrosewalk_peer_messages_too_large_total", "kind" => kind).increment(1);
}

/// Records how many frames wait to be sent to another VM.
pub fn peer_frames_waiting(frames: usize) {
    histogram!("primrosewalk_peer_waiting_frames").record(frames as f64);
}

/// Counts the bytes of the body of a call to a stage endpoint, by the path of the call.
pub fn stage_call_sent(path: &'static str, bytes: usize) {
    counter!("primrosewalk_stage_call_bytes_total", "path" => path).increment(bytes as u64);
}

/// Counts a failed attempt to connect to an endpoint.
pub fn connection_failed() {
    counter!("primrosewalk_attempts_total", "end" => "no_connection").increment(1);
}

/// Counts reports of the load of endpoints: from `answers`, `received` from other VMs, of these the
/// `newer` ones, and `sent` to other VMs.
pub fn load_reports(kind: &'static str, count: usize) {
    counter!("primrosewalk_load_reports_total", "kind" => kind).increment(count as u64);
}

/// Counts an endpoint that was chosen by its reported load, and records the age of the report.
pub fn load_report_used(age: Duration) {
    load_reports("used", 1);
    histogram!("primrosewalk_load_report_age_seconds").record(age.as_secs_f64());
}

/// Counts an engine that ended while it answered a request of this VM.
pub fn engine_crashed() {
    counter!("primrosewalk_engine_crashes_total").increment(1);
}

/// Sets the number of parts of prompts that are under quarantine or were so lately.
pub fn quarantined_parts(count: usize) {
    gauge!("primrosewalk_quarantined_parts").set(count as f64);
}

/// Counts a request that was refused because a part of its prompt is under quarantine.
pub fn quarantine_refused() {
    counter!("primrosewalk_quarantine_refusals_total").increment(1);
}

/// Records the duration of a stage of a request.
pub fn stage_ended(took: Duration) {
    histogram!("primrosewalk_stage_seconds").record(took.as_secs_f64());
}

/// Sets the number of callers' requests in progress.
pub fn active_requests(count: usize) {
    gauge!("primrosewalk_active_requests").set(count as f64);
}
