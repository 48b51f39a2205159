//! Rate limits of organisations. The owner VM of an organisation keeps its whole quota.
//!
//! `docs/design.md`, 3.3 gives the arithmetic.

use std::collections::HashMap;
use std::time::Duration;

use crate::decisions::membership::OwnershipEpoch;
use crate::units::{Burst, OrganisationName, RatePerSecond, Time};

/// Settings of the organisations' quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaConfig {
    /// How long a credit (a granted token) may be used after its grant.
    pub credit_life: Duration,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            credit_life: Duration::from_millis(50),
        }
    }
}

/// Rate and burst that an organisation is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Sustained rate in requests per second.
    pub rate: RatePerSecond,
    /// Number of requests that may exceed the rate at one time.
    pub burst: Burst,
}

/// Result of a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The token is reserved and due at this time, which may be now. The owner must check at that
    /// time that its ownership epoch still holds.
    DueAt(Time),
    /// The token would be due later than the request can wait, so none was reserved.
    Refused {
        /// Minimum wait after which the token would have been due.
        needed: Duration,
    },
}

/// Emission interval and burst tolerance of the generic cell rate algorithm (GCRA). Both are
/// whole nanoseconds, rounded to the organisation's disadvantage, so that no window of time ever
/// contains more requests than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CellRate {
    interval_nanos: u64,
    tolerance_nanos: u64,
}

impl CellRate {
    /// Converts an allowance. Credits may be used up to `credit_life` after their grant, so the
    /// uses of a longer time can fall into one window. To make up for it, the burst is reduced by
    /// the tokens of `credit_life`; the part by which the burst would fall below one lengthens
    /// the interval instead.
    fn new(allowance: Allowance, credit_life: Duration) -> Self {
        let rate = allowance.rate.0;
        let burst = f64::from(allowance.burst.0) - rate * credit_life.as_secs_f64();
        let token_nanos = 1e9 / rate;
        let stretched = token_nanos * (1.0 + (1.0 - burst).max(0.0));
        Self {
            // The cast from float to integer saturates, also at a rate of zero.
            interval_nanos: (stretched.ceil() as u64).max(1),
            tolerance_nanos: (token_nanos * (burst - 1.0).max(0.0)) as u64,
        }
    }
}

/// Token bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    /// Number of the ownership epoch in which the bucket began.
    epoch: u64,
    allowance: Allowance,
    cell_rate: CellRate,
    /// Theoretical arrival time of GCRA. The bucket is full from this time on.
    theoretical_arrival_nanos: u64,
}

impl Bucket {
    /// Creates a bucket that is empty at the start of the epoch: the first token is due one
    /// interval later.
    fn new(allowance: Allowance, epoch: OwnershipEpoch, credit_life: Duration) -> Self {
        let cell_rate = CellRate::new(allowance, credit_life);
        let full_nanos = cell_rate
            .tolerance_nanos
            .saturating_add(cell_rate.interval_nanos);
        Self {
            epoch: epoch.number,
            allowance,
            cell_rate,
            theoretical_arrival_nanos: nanos(epoch.since).saturating_add(full_nanos),
        }
    }

    /// Changes the allowance. The bucket keeps its number of tokens, up to the new burst.
    fn change_allowance(&mut self, now: Time, allowance: Allowance, credit_life: Duration) {
        let old = self.cell_rate;
        let new = CellRate::new(allowance, credit_life);
        let missing_nanos = self.theoretical_arrival_nanos.saturating_sub(nanos(now));
        let capacity =
            |rate: CellRate| 1.0 + rate.tolerance_nanos as f64 / rate.interval_nanos as f64;
        let tokens = capacity(old) - missing_nanos as f64 / old.interval_nanos as f64;
        let missing = (capacity(new) - tokens).max(0.0);
        let missing_nanos = (missing * new.interval_nanos as f64).ceil() as u64;
        self.theoretical_arrival_nanos = nanos(now).saturating_add(missing_nanos);
        self.allowance = allowance;
        self.cell_rate = new;
    }

    /// Returns when the next token is due, rounded up to the clock's microseconds.
    fn due_at(&self, now: Time) -> Time {
        let due = self
            .theoretical_arrival_nanos
            .saturating_sub(self.cell_rate.tolerance_nanos);
        let micros = due.div_ceil(1_000);
        now.max(Time { micros })
    }

    /// Takes the token that is due at `due`.
    fn take_token(&mut self, due: Time) {
        let start_nanos = self.theoretical_arrival_nanos.max(nanos(due));
        self.theoretical_arrival_nanos = start_nanos.saturating_add(self.cell_rate.interval_nanos);
    }
}

fn nanos(time: Time) -> u64 {
    time.micros.saturating_mul(1_000)
}

/// Token buckets of the organisations that this VM owns.
#[derive(Debug, Default)]
pub struct Quota {
    config: QuotaConfig,
    buckets: HashMap<OrganisationName, Bucket>,
}

impl Quota {
    /// Creates a quota without buckets.
    pub fn new(config: QuotaConfig) -> Self {
        Self {
            config,
            buckets: HashMap::new(),
        }
    }

    /// Reserves one token if it is due within `max_wait`. Reservations are served in the
    /// order in which they were made.
    ///
    /// The owner grants the token at the returned time, and only if the same ownership epoch (by
    /// number) still holds then. The credit's life counts from the returned time, even if the
    /// owner grants the token later: otherwise an owner that was paused would grant many
    /// credits for use at the same time.
    pub fn reserve(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        allowance: Allowance,
        epoch: OwnershipEpoch,
        max_wait: Duration,
    ) -> Reservation {
        let life = self.config.credit_life;
        let new_bucket = || Bucket::new(allowance, epoch, life);
        let bucket = self.buckets.entry(organisation.clone());
        let bucket = bucket.or_insert_with(new_bucket);
        assert!(
            bucket.epoch <= epoch.number,
            "an ownership epoch was used after a later one"
        );
        if bucket.epoch != epoch.number {
            *bucket = new_bucket();
        }
        if bucket.allowance != allowance {
            bucket.change_allowance(now, allowance, life);
        }
        let due = bucket.due_at(now);
        let needed = due.since(now);
        if needed > max_wait {
            return Reservation::Refused { needed };
        }
        bucket.take_token(due);
        Reservation::DueAt(due)
    }
}
