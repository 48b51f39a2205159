//! Bounded record of decisions, with which operators find out why a request was handled as it
//! was.
//!
//! The record is a slog drain next to the one that writes the log. It stores the log lines that
//! have the key `request` or `decision` (`docs/design.md`, 4 and 6).

use std::collections::VecDeque;
use std::fmt;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Drain, KV, Key, Never, OwnedKVList, Record, Serializer};

/// Settings of the record of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionLogConfig {
    /// Maximum number of stored lines; when it is exceeded, the oldest line is dropped.
    pub line_limit: usize,
}

impl Default for DecisionLogConfig {
    fn default() -> Self {
        Self { line_limit: 20_000 }
    }
}

/// A decision that this VM made and logged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Number of the decision, counted from 1. The oldest stored decision has a higher number
    /// once lines were dropped.
    pub sequence: u64,
    /// Time of the decision in milliseconds since 1970 by this VM's wall clock. It is only for
    /// people to read.
    pub at_unix_ms: u64,
    /// Id of the request that the decision was about; `None` if it was not about a request.
    pub request: Option<String>,
    /// Message of the log line, with the prefix of the part that made the decision.
    pub message: String,
    /// Keys and values of the log line, in the order in which they were logged.
    pub values: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct RingBuffer {
    sequence: u64,
    lines: VecDeque<Decision>,
}

/// Record of the latest decisions of this VM, and the slog drain that fills it.
#[derive(Debug, Default)]
pub struct DecisionLog {
    config: DecisionLogConfig,
    ring: Mutex<RingBuffer>,
}

// A panic cannot leave the ring buffer half changed: code that holds the lock changes it only by
// plain moves.
impl UnwindSafe for DecisionLog {}
impl RefUnwindSafe for DecisionLog {}

impl DecisionLog {
    /// Makes an empty record.
    pub fn new(config: DecisionLogConfig) -> Self {
        Self {
            config,
            ring: Mutex::default(),
        }
    }

    /// Returns the stored decisions about a request, the oldest first.
    pub fn for_request(&self, request: &str) -> Vec<Decision> {
        let ring = self.ring.lock();
        let lines = ring.lines.iter();
        lines
            .filter(|line| line.request.as_deref() == Some(request))
            .cloned()
            .collect()
    }

    /// Returns up to `limit` stored decisions with a sequence number above `after`, the oldest
    /// first.
    pub fn after(&self, after: u64, limit: usize) -> Vec<Decision> {
        let ring = self.ring.lock();
        let start = ring.lines.partition_point(|line| line.sequence <= after);
        ring.lines.range(start..).take(limit).cloned().collect()
    }

    fn push(&self, message: String, fields: Fields) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_unix_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
        let mut ring = self.ring.lock();
        ring.sequence += 1;
        let sequence = ring.sequence;
        ring.lines.push_back(Decision {
            sequence,
            at_unix_ms,
            request: fields.request,
            message,
            values: fields.values,
        });
        if ring.lines.len() > self.config.line_limit {
            ring.lines.pop_front();
        }
    }
}

/// Keys and values of one log line.
#[derive(Default)]
struct Fields {
    request: Option<String>,
    is_decision: bool,
    values: Vec<(String, String)>,
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        match key {
            "request" => self.request = Some(value.to_string()),
            "decision" => self.is_decision = true,
            _ => {}
        }
        self.values.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

impl Drain for DecisionLog {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut fields = Fields::default();
        let serialized = record
            .kv()
            .serialize(record, &mut fields)
            .and_then(|()| values.serialize(record, &mut fields));
        if serialized.is_ok() && (fields.request.is_some() || fields.is_decision) {
            self.push(record.msg().to_string(), fields);
        }
        Ok(())
    }
}
