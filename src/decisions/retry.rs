//! The retry budget that all requests of a VM share, the attempts of one stage, and the division
//! of a deadline among stages.
//!
//! `docs/design.md`, 3.5 gives the policy. A shared budget keeps retries from multiplying
//! the load of a service that is already failing.

use std::time::Duration;

/// Settings of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryConfig {
    /// Number of retries that each first attempt adds to the budget; may be a fraction.
    pub earned_per_request: f64,
    /// Maximum balance of the budget in retries; also the initial balance.
    pub reserve: f64,
    /// Maximum number of attempts of one stage, the first included.
    pub attempts_per_stage: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            earned_per_request: 0.1,
            reserve: 10.0,
            attempts_per_stage: 3,
        }
    }
}

/// Number of parts of one retry. The balance is a whole number of parts, so that additions have
/// no rounding errors.
const PARTS_PER_RETRY: f64 = 1e6;

/// The balance of retries that the requests of a VM may still make.
#[derive(Debug)]
pub struct RetryBudget {
    attempts_per_stage: u32,
    earned_parts: u64,
    reserve_parts: u64,
    balance_parts: u64,
}

impl RetryBudget {
    /// Creates a budget whose balance is the full reserve.
    pub fn new(config: RetryConfig) -> Self {
        let reserve_parts = to_parts(config.reserve);
        Self {
            attempts_per_stage: config.attempts_per_stage,
            earned_parts: to_parts(config.earned_per_request),
            reserve_parts,
            balance_parts: reserve_parts,
        }
    }

    /// Counts a first attempt, which adds to the balance.
    pub fn on_first_attempt(&mut self) {
        let balance = self.balance_parts.saturating_add(self.earned_parts);
        self.balance_parts = balance.min(self.reserve_parts);
    }

    /// Takes one retry from the balance, if attempt number `attempts` was not the last allowed
    /// and the balance suffices. Returns whether the retry may run.
    pub fn take(&mut self, attempts: u32) -> bool {
        attempts < self.attempts_per_stage && self.take_all(1)
    }

    /// Takes `count` retries from the balance, or none if it does not suffice for all of them.
    /// For retries that are useful only together. Returns whether they may run.
    pub fn take_all(&mut self, count: u32) -> bool {
        let remaining = self.balance_parts.checked_sub(to_parts(f64::from(count)));
        self.balance_parts = remaining.unwrap_or(self.balance_parts);
        remaining.is_some()
    }
}

fn to_parts(retries: f64) -> u64 {
    (retries.max(0.0) * PARTS_PER_RETRY).round() as u64
}

/// Attempts of one stage of one request. Only the answer of the current attempt counts, because
/// an abandoned attempt can still answer after its retry has begun.
#[derive(Debug, Default)]
pub struct Attempts {
    begun: u32,
    answered: bool,
}

impl Attempts {
    /// Begins the next attempt and returns its number, counted from 1. Earlier attempts are
    /// abandoned.
    pub fn begin(&mut self) -> u32 {
        self.begun += 1;
        self.answered = false;
        self.begun
    }

    /// Returns how many attempts have begun.
    pub fn count(&self) -> u32 {
        self.begun
    }

    /// Returns whether the answer of attempt `number` counts. Only the first answer of the
    /// current attempt does.
    pub fn accept(&mut self, number: u32) -> bool {
        let accepted = !self.answered && number == self.begun && number > 0;
        self.answered |= accepted;
        accepted
    }
}

/// Returns the timeout of the next stage: its share of the remaining time by weight, doubled so
/// that an early stage may use time of later ones, and never more than the remaining time.
pub fn stage_time(
    remaining: Duration,
    weight: u32,
    later_weights: impl IntoIterator<Item = u32>,
) -> Duration {
    let later: u64 = later_weights.into_iter().map(u64::from).sum();
    let total = (u64::from(weight) + later).max(1);
    let share = f64::from(weight) / total as f64;
    remaining.mul_f64((share * 2.0).min(1.0))
}
