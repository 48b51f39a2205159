//! What a request waits for, and why one ended without a whole answer or a refusal.
//!
//! Each such end has a log line and a count, from which the people on call tell a caller that left from a
//! connection that this VM closed (`docs/OPERATIONS.md`, "Requests without an answer").

use std::fmt;

use parking_lot::Mutex;

/// What a request waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Wait {
    /// The rest of the request, or bytes of it on a connection that this VM has closed.
    #[default]
    Body,
    /// Results of its stages.
    Stages,
    /// An endpoint that takes it.
    Endpoint,
    /// The answer of an endpoint, or the first event of it.
    Answer,
    /// The next event of its stream.
    NextEvent,
}

impl Wait {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Stages => "stages",
            Self::Endpoint => "endpoint",
            Self::Answer => "answer",
            Self::NextEvent => "next_event",
        }
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Why a request ended without a whole answer or a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The caller closed its connection.
    CallerLeft,
    /// This VM closed an idle connection while the request was on its way.
    OwnClose,
    /// The time of a planned stop was over.
    PlannedStop,
    /// The deadline of the request passed in the middle of its stream.
    Deadline,
    /// The endpoint broke its answer off or was silent, and no other one went on with it.
    Endpoint,
    /// The task that serves the stream failed.
    Failure,
}

impl LossCause {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::OwnClose => "own_close",
            Self::PlannedStop => "planned_stop",
            Self::Deadline => "deadline",
            Self::Endpoint => "endpoint",
            Self::Failure => "failure",
        }
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The progress of one request, which the tasks that serve it update.
#[derive(Debug, Default)]
pub struct Progress(Mutex<Wait>);

impl Progress {
    /// Records what the request waits for from now on.
    pub fn wait_for(&self, wait: Wait) {
        *self.0.lock() = wait;
    }

    /// Returns what the request waits for.
    pub fn waiting_for(&self) -> Wait {
        *self.0.lock()
    }
}
