//! Decides until when a VM that stops takes, answers and refuses requests.
//!
//! The platform kills the process some time after the signal to stop. A request that waits for a stage or an
//! endpoint by then would lose its connection without an answer, so it is refused while there is time to send the
//! refusal. This handles stops under a load that the stages cannot bear, where requests wait for longer than the
//! stop lasts (`docs/platform.md`, "Planned stop").

use std::time::Duration;

use crate::units::Time;

/// Time that is left until the platform kills the process when the process ends in any case.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of the process at which the last answers are made, so that they can be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time before the end of the process at which no further connections are accepted, so that the last
/// ones can be answered.
const LAST_ACCEPT_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after the signal during which requests are still accepted, because callers may use the
/// addresses of the directory for that long.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    began_at: Time,
    /// Time at which the process ends, also if requests are open.
    pub exit_at: Time,
}

impl PlannedStop {
    /// Returns the times of a stop that began at `began_at`; the platform kills the process after `grace`.
    pub fn new(began_at: Time, grace: Duration) -> Self {
        Self {
            began_at,
            exit_at: began_at + grace.saturating_sub(KILL_MARGIN),
        }
    }

    /// Returns whether a request that arrived at `arrived_at` is still taken.
    pub fn accepts(&self, arrived_at: Time) -> bool {
        arrived_at.since(self.began_at) <= ACCEPT_PERIOD
    }

    /// Returns the time from which connections are no longer accepted.
    pub fn last_accept_at(&self) -> Time {
        self.before_exit(LAST_ACCEPT_MARGIN)
    }

    /// Returns the time by which each request has its answer.
    pub fn answer_by(&self) -> Time {
        self.before_exit(ANSWER_MARGIN)
    }

    /// Returns whether a request that takes `remaining` from now on is answered in time.
    pub fn fits(&self, now: Time, remaining: Duration) -> bool {
        now + remaining <= self.answer_by()
    }

    fn before_exit(&self, margin: Duration) -> Time {
        self.began_at + self.exit_at.since(self.began_at).saturating_sub(margin)
    }
}
