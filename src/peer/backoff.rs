//! Exponential backoff with full jitter.

use std::time::Duration;

/// Upper bounds of the pauses between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Upper bound of the first pause. It doubles with each failure.
    pub initial: Duration,
    /// Upper bound of every pause after it has grown.
    pub max: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(200),
            max: Duration::from_secs(5),
        }
    }
}

/// Pauses whose upper bound grows with each failure. Full jitter keeps the VMs of a fleet from
/// retrying at the same moment.
#[derive(Debug, Default)]
pub struct Backoff {
    config: BackoffConfig,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(config: BackoffConfig) -> Self {
        Self {
            config,
            failures: 0,
        }
    }

    /// Records a success, so that the next pause is short again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the pause before the next attempt. `fraction` is a random
    /// number from 0 to 1.
    pub fn next_pause(&mut self, fraction: f64) -> Duration {
        let upper_bound = self.config.initial * 2_u32.pow(self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        upper_bound
            .min(self.config.max)
            .mul_f64(fraction.clamp(0.0, 1.0))
    }

    /// Records a failure and waits for the pause before the next attempt.
    pub async fn pause(&mut self) {
        let pause = self.next_pause(rand::random());
        tokio::time::sleep(pause).await;
    }
}
