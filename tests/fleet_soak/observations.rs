//! What callers saw of a run, and the checks of it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

use crate::users_platform::Fleet;
use crate::users_platform::backend::EVENTS;
use crate::users_platform::caller::CallerAnswer;

/// Answers that callers received, and violations of the system's guarantees.
#[derive(Default)]
pub struct Observations {
    pub sent: AtomicU64,
    /// Number of answers with status 200.
    pub succeeded: AtomicU64,
    /// Path and answer by request id.
    answers: Mutex<HashMap<String, (String, Option<CallerAnswer>)>>,
    pub violations: Mutex<Vec<String>>,
}

impl Observations {
    pub fn record_violation(&self, violation: String) {
        self.violations.lock().push(violation);
    }

    /// Checks one answer by itself and stores it.
    pub fn check(&self, id: &str, path: &str, answer: Option<CallerAnswer>) {
        if let Some(answer) = &answer
            && answer.status == 200
        {
            self.succeeded.fetch_add(1, Ordering::Relaxed);
            if !answer.is_signed {
                self.record_violation(format!("{id}: an answer with status 200 has no signature"));
            }
            if path.contains("stream") {
                self.check_stream(id, answer);
            } else if answer.is_complete && answer.body != format!("answer to {id}") {
                self.record_violation(format!(
                    "{id}: the body is not that of this request: {:?}",
                    answer.body
                ));
            }
        }
        self.answers
            .lock()
            .insert(id.to_owned(), (path.to_owned(), answer));
    }

    /// Checks that the events of a stream are in order, belong to the request, and are all there if
    /// the stream ended regularly.
    fn check_stream(&self, id: &str, answer: &CallerAnswer) {
        let numbers = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u64> = numbers.filter_map(|text| text.parse().ok()).collect();
        let is_in_order = events
            .iter()
            .enumerate()
            .all(|(place, event)| place as u64 == *event);
        if !is_in_order {
            self.record_violation(format!(
                "{id}: the events do not count up from 0 without gaps: {events:?}"
            ));
        }
        if answer.is_complete && events.len() as u64 != EVENTS {
            self.record_violation(format!(
                "{id}: the stream ended as complete after {} events",
                events.len()
            ));
        }
        let data_lines = answer
            .body
            .lines()
            .filter(|line| line.starts_with("data: "));
        if data_lines.clone().any(|line| !line.ends_with(id)) {
            self.record_violation(format!(
                "{id}: the stream contains events of another request"
            ));
        }
    }

    /// Checks that no handler of a request failed, as at an assertion of the program itself.
    pub fn check_handlers(&self, fleet: &Fleet) {
        for vm in &fleet.vms {
            for line in vm.log().lines() {
                if line.contains("request: its handler failed") {
                    self.record_violation(format!("{}: {line}", vm.name));
                }
            }
        }
    }

    /// Checks the requests that endpoints received and ran against the answers that callers got.
    pub fn check_runs(&self, fleet: &Fleet) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for backend in &fleet.backends {
            for received in backend.received() {
                let is_request = !received.path.starts_with("/api/");
                if is_request && received.header("tenant") != Some("org-1") {
                    self.record_violation(format!(
                        "{}: an endpoint received it without the caller's organisation org-1",
                        received.id
                    ));
                }
                if is_request && received.header("authorization").is_some() {
                    self.record_violation(format!(
                        "{}: an endpoint received the caller's API key",
                        received.id
                    ));
                }
                if is_request && received.has_run {
                    *runs.entry(received.id).or_default() += 1;
                }
            }
        }
        let answers = self.answers.lock();
        for (id, count) in runs {
            let Some((path, answer)) = answers.get(&id) else {
                self.record_violation(format!("{id}: an endpoint ran it, but no caller sent it"));
                continue;
            };
            let at_most_once = path.contains("/pay/") || path.contains("/once-stream/");
            if at_most_once && count > 1 {
                self.record_violation(format!("{id}: an at-most-once request ran {count} times"));
            }
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if at_most_once && matches!(status, 408 | 421 | 429 | 503) {
                self.record_violation(format!(
                    "{id}: status {status} states that it has not run, but an endpoint ran it"
                ));
            }
        }
    }
}
