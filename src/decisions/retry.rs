//! The retry budget that all requests of a VM share, and the split of a deadline.
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

/// Balance of retries.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    balance: f64,
}

impl RetryBudget {
    /// Starts with the reserve.
    pub fn new(config: RetryConfig) -> Self {
        Self {
            config,
            balance: config.reserve,
        }
    }

    /// Notes a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.balance = (self.balance + self.config.earned_per_request).min(self.config.reserve);
    }

    /// Takes one retry from the balance, if attempt number `attempts` was not the last
    /// allowed and the balance holds one.
    pub fn take(&mut self, attempts: u32) -> bool {
        if attempts >= self.config.attempts_per_stage || self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns the time that the next stage may take: its share of what remains by weight,
/// doubled so that an early stage may borrow, and never more than what remains.
pub fn stage_time(
    remaining: Duration,
    weight: u32,
    later_weights: impl IntoIterator<Item = u32>,
) -> Duration {
    let later: u32 = later_weights.into_iter().sum();
    let share = f64::from(weight) / f64::from((weight + later).max(1));
    remaining.mul_f64((share * 2.0).min(1.0))
}
