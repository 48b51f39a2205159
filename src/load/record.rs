//! Record of each request: its outcome and its timings.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived, in time or late.
    Complete,
    /// The fleet refused the request, or ended it with an error.
    Refused {
        /// Code of the refusal or error.
        code: String,
        /// Whether the refusal states that no stage ran.
        not_run: bool,
    },
    /// No answer arrived before the caller gave up, for this reason.
    Unanswered(&'static str),
}

/// One request, from its scheduled arrival to its end.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Scheduled arrival, since the start of the run.
    pub at: Duration,
    /// Index of the organisation in the scenario.
    pub organisation: usize,
    /// Whether the organisation stayed within its rate and burst; see `inside_rate` of
    /// [`super::Arrival`] for the time after an excess.
    pub inside_rate: bool,
    /// Time allowed for the complete answer, from the scheduled arrival.
    pub deadline: Duration,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from the scheduled arrival to the end; a delay before sending is included.
    pub elapsed: Duration,
    /// Id of the request, if the fleet has given one.
    pub request_id: Option<String>,
    /// Number of times that the request was sent. Sends that were refused because an earlier copy
    /// of the request was still running are not counted.
    pub tries: u32,
    /// Stages listed in the answer; empty without a complete answer.
    pub stages: Vec<StageTime>,
    /// Time from the scheduled arrival to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Whether the answer names the id of another request.
    pub is_misdelivered: bool,
}

impl RequestRecord {
    /// Whether the complete answer to this request arrived within the deadline.
    pub fn is_attained(&self) -> bool {
        self.outcome == Outcome::Complete && self.elapsed <= self.deadline && !self.is_misdelivered
    }
}

/// Execution of one stage, as listed in the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageTime {
    /// Name of the stage.
    pub stage: String,
    /// Endpoint that returned the result.
    #[serde(default)]
    pub endpoint: String,
    /// Number of attempts that the stage took.
    pub attempts: u32,
    /// Time of the stage over all its attempts, in milliseconds.
    pub elapsed_ms: f64,
}
