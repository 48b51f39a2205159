//! What became of each request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived, in time or late.
    Complete,
    /// The fleet refused it or gave it up with this code.
    Refused {
        /// Code of the refusal.
        code: String,
        /// Whether the refusal said that nothing ran.
        not_run: bool,
    },
    /// No answer came within the deadline, for the reason given.
    Unanswered(&'static str),
}

/// One request from its planned arrival to its end.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Planned arrival since the start of the run.
    pub at: Duration,
    /// Index of the organisation in the scenario.
    pub organisation: usize,
    /// Whether the organisation was inside its rate.
    pub inside_rate: bool,
    /// Time that the caller had.
    pub deadline: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// From the planned arrival to the end; a late start counts as waiting.
    pub elapsed: Duration,
    /// The id, once it is known.
    pub request_id: Option<String>,
    /// VMs that were asked to run it.
    pub tries: u32,
    /// Stages of a whole answer.
    pub stages: Vec<StageTime>,
    /// From the planned arrival to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Gaps between the tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Set when the answer names another request.
    pub is_misdelivered: bool,
}

impl RequestRecord {
    /// Whether the whole answer came within the deadline.
    pub fn is_attained(&self) -> bool {
        self.outcome == Outcome::Complete && self.elapsed <= self.deadline && !self.is_misdelivered
    }
}

/// One stage of an answer, as the fleet reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageTime {
    /// Name of the stage.
    pub stage: String,
    /// The endpoint that gave the result.
    #[serde(default)]
    pub endpoint: String,
    /// Attempts that it took.
    pub attempts: u32,
    /// Time that it took, in milliseconds.
    pub elapsed_ms: f64,
}
