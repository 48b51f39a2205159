//! The retry budget that all requests of a VM share, the attempts of one stage, and the split
//! of a deadline.
//!
//! `docs/design.md`, 3.5 gives the policy. A shared budget keeps retries from multiplying
//! the load of a service that already fails.

use std::time::Duration;

/// Settings of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryConfig {
    /// Retries earned by each first attempt.
    pub earned_per_request: f64,
    /// Retries that may be saved up; also the initial balance.
    pub reserve: f64,
    /// Attempts of one stage, the first included.
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

/// Parts of a retry that the balance counts in; whole parts add up without rounding errors.
const PARTS: f64 = 1e6;

/// Balance of retries.
#[derive(Debug)]
pub struct RetryBudget {
    attempts_per_stage: u32,
    earned_parts: u64,
    reserve_parts: u64,
    balance_parts: u64,
}

impl RetryBudget {
    /// Starts with the reserve.
    pub fn new(config: RetryConfig) -> Self {
        let reserve_parts = parts(config.reserve);
        Self {
            attempts_per_stage: config.attempts_per_stage,
            earned_parts: parts(config.earned_per_request),
            reserve_parts,
            balance_parts: reserve_parts,
        }
    }

    /// Notes a first attempt.
    pub fn on_first_attempt(&mut self) {
        let balance = self.balance_parts.saturating_add(self.earned_parts);
        self.balance_parts = balance.min(self.reserve_parts);
    }

    /// Takes one retry from the balance, if attempt number `attempts` was not the last
    /// allowed and the balance holds one.
    pub fn take(&mut self, attempts: u32) -> bool {
        attempts < self.attempts_per_stage && self.take_all(1)
    }

    /// Takes several retries that make sense only together, or none.
    pub fn take_all(&mut self, count: u32) -> bool {
        let rest = self.balance_parts.checked_sub(parts(f64::from(count)));
        self.balance_parts = rest.unwrap_or(self.balance_parts);
        rest.is_some()
    }
}

fn parts(retries: f64) -> u64 {
    (retries.max(0.0) * PARTS).round() as u64
}

/// Attempts of one stage of one request. Only the current one may answer: an answer of an
/// attempt that was given up can arrive after its retry has begun.
#[derive(Debug, Default)]
pub struct Attempts {
    begun: u32,
    answered: bool,
}

impl Attempts {
    /// Begins the next attempt and returns its number, from 1. Earlier ones are given up.
    pub fn begin(&mut self) -> u32 {
        self.begun += 1;
        self.answered = false;
        self.begun
    }

    /// Returns how many attempts have begun.
    pub fn count(&self) -> u32 {
        self.begun
    }

    /// Returns whether the answer of attempt `number` counts: that of the current attempt
    /// does, once.
    pub fn accept(&mut self, number: u32) -> bool {
        let accepted = !self.answered && number == self.begun && number > 0;
        self.answered |= accepted;
        accepted
    }
}

/// Returns the time that the next stage may take: its share of what remains by weight,
/// doubled so that an early stage may borrow, and never more than what remains.
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
