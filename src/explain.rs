//! Bounded record of decisions, so that operators can ask why a request went as it did.
//!
//! It is a slog drain beside the one that prints, and keeps the lines that carry the key
//! `request` or `decision` (`docs/design.md`, 4 and 6).

use std::collections::VecDeque;
use std::fmt;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{Drain, KV, Key, Never, OwnedKVList, Record, Serializer};

/// Settings of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionLogConfig {
    /// Lines kept; beyond it the oldest goes.
    pub line_limit: usize,
}

impl Default for DecisionLogConfig {
    fn default() -> Self {
        Self { line_limit: 20_000 }
    }
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Position in the record, from 1. Lines that were dropped leave a gap at the start.
    pub sequence: u64,
    /// Milliseconds since 1970 by this VM's wall clock, for people only.
    pub at_unix_ms: u64,
    /// The request that the decision was about.
    pub request: Option<String>,
    /// The line, with the prefix of the part that decided.
    pub message: String,
    /// Keys and values of the line, in the order logged.
    pub values: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct Ring {
    sequence: u64,
    lines: VecDeque<Decision>,
}

/// The latest decisions of this VM.
#[derive(Debug, Default)]
pub struct DecisionLog {
    config: DecisionLogConfig,
    ring: Mutex<Ring>,
}

// A panic cannot leave the ring half changed: the lock is held for plain moves only.
impl UnwindSafe for DecisionLog {}
impl RefUnwindSafe for DecisionLog {}

impl DecisionLog {
    /// Starts empty.
    pub fn new(config: DecisionLogConfig) -> Self {
        Self {
            config,
            ring: Mutex::default(),
        }
    }

    /// Returns the kept decisions about a request, the oldest first.
    pub fn about(&self, request: &str) -> Vec<Decision> {
        let ring = self.ring.lock();
        let lines = ring.lines.iter();
        lines
            .filter(|line| line.request.as_deref() == Some(request))
            .cloned()
            .collect()
    }

    /// Returns up to `limit` kept decisions with a sequence above `after`, the oldest first.
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
        let read = record
            .kv()
            .serialize(record, &mut fields)
            .and_then(|()| values.serialize(record, &mut fields));
        if read.is_ok() && (fields.request.is_some() || fields.is_decision) {
            self.push(record.msg().to_string(), fields);
        }
        Ok(())
    }
}
