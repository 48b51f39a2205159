//! Reads from the logs of the VMs which requests ended without an answer or a refusal, and why.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::callers::Exchange;
use crate::observations::Observations;
use crate::users_platform::Fleet;

/// A line of a VM about a request without an answer.
struct UnansweredLine {
    vm: usize,
    number: usize,
    text: String,
    id: String,
    cause: String,
    waiting_for: String,
}

fn read_lines(fleet: &Fleet) -> Vec<UnansweredLine> {
    let mut lines = Vec::new();
    for (vm, log) in fleet.vms.iter().map(|vm| vm.log()).enumerate() {
        for (index, text) in log.lines().enumerate() {
            let line: Value = serde_json::from_str(text).unwrap_or_default();
            let field = |name: &str| line[name].as_str().map(str::to_owned);
            let Some(cause) = field("cause") else {
                continue;
            };
            lines.push(UnansweredLine {
                vm,
                number: index + 1,
                text: text.to_owned(),
                id: field("id").unwrap_or_default(),
                cause,
                waiting_for: field("waiting_for").unwrap_or_default(),
            });
        }
    }
    lines
}

/// Returns the number of requests without an answer by cause and by what they waited for.
pub fn count_by_cause(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in read_lines(fleet) {
        let key = format!("{}/{}", line.cause, line.waiting_for);
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Checks that no request ended by a cause of the VMs themselves, or in a queue of theirs that its caller left.
/// `silences` holds when endpoints fell silent and for how long: an end at an endpoint needs one of them.
pub fn check_causes(
    fleet: &Fleet,
    exchanges: &[Exchange],
    silences: &[(Instant, Duration)],
    observations: &Observations,
) {
    let by_id: HashMap<&str, &Exchange> = exchanges
        .iter()
        .map(|exchange| (exchange.id.as_str(), exchange))
        .collect();
    let was_silent = |id: &str| {
        by_id.get(id).is_some_and(|exchange| {
            silences.iter().any(|(began, duration)| {
                *began <= exchange.ended_at && *began + *duration >= exchange.sent_at
            })
        })
    };
    for line in read_lines(fleet) {
        let is_allowed = match (line.cause.as_str(), line.waiting_for.as_str()) {
            ("endpoint", _) => was_silent(&line.id),
            ("caller_left", "answer" | "next_event") | ("deadline", "next_event") => true,
            _ => false,
        };
        if !is_allowed {
            observations.record_violation(format!(
                "vm-{}, line {}: {} while waiting for {}: {}",
                line.vm, line.number, line.cause, line.waiting_for, line.text
            ));
        }
    }
}
