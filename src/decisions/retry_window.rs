//! The retries that one VM may send to a service, by what it sent within a sliding window.
//!
//! The platform bounds the retries of a service in any window of some seconds by a part of its requests
//! and a reserve, for all VMs together. Each VM keeps the same bound for its own requests and a share of
//! the reserve. This handles crashes of many endpoints at once: all requests that ran there may be
//! retried at that moment, if there were few retries before, where a balance that is capped at the
//! reserve would refuse most of them (`docs/platform.md`, "Retries").

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Time;

/// Number of parts of a window that are counted separately.
const PARTS: u32 = 20;

/// Part of the ratio that is used. Requests arrive unevenly, so a window that ends shortly after a
/// retry may have fewer of them than the one that ended with it.
const USED_RATIO: f64 = 0.9;

/// Settings of a [`RetryWindow`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryWindowConfig {
    /// Number of retries that each first attempt within the window allows; may be a fraction.
    pub ratio: f64,
    /// Number of retries that are allowed besides.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
}

/// Attempts that began within one part of the window.
#[derive(Debug, Clone, Copy)]
struct Part {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// First attempts and retries within the window.
#[derive(Debug)]
pub struct RetryWindow {
    config: RetryWindowConfig,
    /// The parts with attempts, oldest first.
    parts: VecDeque<Part>,
}

impl RetryWindow {
    /// Creates a window without attempts.
    pub fn new(config: RetryWindowConfig) -> Self {
        Self {
            config,
            parts: VecDeque::new(),
        }
    }

    /// Replaces the reserve, when the number of VMs that share it has changed.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.config.reserve = reserve;
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self, now: Time) {
        self.part(now).first_attempts += 1;
    }

    /// Counts a retry, if attempt number `attempts` was not the last allowed one and the window
    /// allows it. Returns whether the retry may run.
    pub fn take(&mut self, now: Time, attempts: u32) -> bool {
        let may_run = self.allows(now, attempts);
        if may_run {
            self.part(now).retries += 1;
        }
        may_run
    }

    /// Returns whether [`RetryWindow::take`] would allow a retry now.
    pub fn allows(&mut self, now: Time, attempts: u32) -> bool {
        if attempts >= self.config.max_attempts {
            return false;
        }
        let oldest = self.part(now).number.saturating_sub(u64::from(PARTS));
        // The oldest part lies only partly in the window, so its first attempts do not count and its
        // retries do.
        let in_window = self.parts.iter().filter(|part| part.number > oldest);
        let first_attempts: u32 = in_window.map(|part| part.first_attempts).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let earned = f64::from(first_attempts) * self.config.ratio * USED_RATIO;
        let allowed = earned + self.config.reserve;
        f64::from(retries + 1) <= allowed
    }

    /// Returns the current part, and drops those that lie before the window.
    fn part(&mut self, now: Time) -> &mut Part {
        let part_micros = (self.config.window / PARTS).as_micros().max(1) as u64;
        let number = now.micros / part_micros;
        let is_old = |part: &Part| part.number + u64::from(PARTS) < number;
        while self.parts.front().is_some_and(is_old) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
