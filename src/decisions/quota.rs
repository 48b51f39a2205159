//! Rate and burst of organisations, held whole by each organisation's owner VM.
//!
//! `docs/design.md`, 3.3 gives the arithmetic.

use std::collections::HashMap;
use std::time::Duration;

use crate::decisions::membership::OwnershipEpoch;
use crate::units::{Burst, OrganisationName, RatePerSecond, Time};

/// Settings of the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaConfig {
    /// How long after its grant a credit may be used.
    pub credit_life: Duration,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            credit_life: Duration::from_millis(50),
        }
    }
}

/// What an organisation may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub rate: RatePerSecond,
    /// Requests at once on top.
    pub burst: Burst,
}

/// Answer to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The token is due at this time, which may be now. The owner must check at that time
    /// that its epoch still holds.
    DueAt(Time),
    /// The token would be due later than the request can wait; nothing was reserved.
    Refused {
        /// Shortest wait that would have been enough.
        needed: Duration,
    },
}

/// Interval and tolerance of the generic cell rate algorithm, in whole nanoseconds that are
/// rounded against the organisation, so that no window ever holds more than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CellRate {
    interval_nanos: u64,
    tolerance_nanos: u64,
}

impl CellRate {
    /// A credit may be used up to `credit_life` after its grant, which can squeeze the uses
    /// of one window together. The burst is reduced by the tokens of that time; what a burst
    /// below one cannot absorb stretches the interval.
    fn new(allowance: Allowance, credit_life: Duration) -> Self {
        let rate = allowance.rate.0;
        let burst = f64::from(allowance.burst.0) - rate * credit_life.as_secs_f64();
        let token_nanos = 1e9 / rate;
        let stretched = token_nanos * (1.0 + (1.0 - burst).max(0.0));
        Self {
            // A cast of a float to an integer saturates, also for a rate of zero.
            interval_nanos: (stretched.ceil() as u64).max(1),
            tolerance_nanos: (token_nanos * (burst - 1.0).max(0.0)) as u64,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    epoch: u64,
    allowance: Allowance,
    cell_rate: CellRate,
    /// Theoretical arrival time: the bucket is full again one interval before it.
    arrival_nanos: u64,
}

impl Bucket {
    /// Starts empty at the start of the epoch: the first token is due one interval later.
    fn new(allowance: Allowance, epoch: OwnershipEpoch, credit_life: Duration) -> Self {
        let cell_rate = CellRate::new(allowance, credit_life);
        let full_nanos = cell_rate
            .tolerance_nanos
            .saturating_add(cell_rate.interval_nanos);
        Self {
            epoch: epoch.number,
            allowance,
            cell_rate,
            arrival_nanos: nanos(epoch.since).saturating_add(full_nanos),
        }
    }

    /// Goes on with another allowance and the same number of tokens, at most the new burst.
    fn change_allowance(&mut self, now: Time, allowance: Allowance, credit_life: Duration) {
        let old = self.cell_rate;
        let new = CellRate::new(allowance, credit_life);
        let missing_nanos = self.arrival_nanos.saturating_sub(nanos(now));
        let capacity =
            |rate: CellRate| 1.0 + rate.tolerance_nanos as f64 / rate.interval_nanos as f64;
        let held = capacity(old) - missing_nanos as f64 / old.interval_nanos as f64;
        let missing = (capacity(new) - held).max(0.0);
        let missing_nanos = (missing * new.interval_nanos as f64).ceil() as u64;
        self.arrival_nanos = nanos(now).saturating_add(missing_nanos);
        self.allowance = allowance;
        self.cell_rate = new;
    }

    /// Returns when the next token is due, rounded up to the clock's microseconds.
    fn due_at(&self, now: Time) -> Time {
        let due = self
            .arrival_nanos
            .saturating_sub(self.cell_rate.tolerance_nanos);
        let micros = due.div_ceil(1_000);
        now.max(Time { micros })
    }

    fn take(&mut self, due: Time) {
        let from = self.arrival_nanos.max(nanos(due));
        self.arrival_nanos = from.saturating_add(self.cell_rate.interval_nanos);
    }
}

fn nanos(time: Time) -> u64 {
    time.micros.saturating_mul(1_000)
}

/// Buckets of the organisations that this VM owns.
#[derive(Debug, Default)]
pub struct Quota {
    config: QuotaConfig,
    buckets: HashMap<OrganisationName, Bucket>,
}

impl Quota {
    /// Starts without buckets.
    pub fn new(config: QuotaConfig) -> Self {
        Self {
            config,
            buckets: HashMap::new(),
        }
    }

    /// Reserves one token if it is due within `max_wait`. Reservations are served in the
    /// order in which they were made.
    ///
    /// The owner gives the token out at the returned time, and only if the same epoch (by
    /// number) still holds then. The credit's life counts from the returned time, also when
    /// the owner gives it out later: an owner that was paused would else give out many at once.
    pub fn reserve(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        allowance: Allowance,
        epoch: OwnershipEpoch,
        max_wait: Duration,
    ) -> Reservation {
        let life = self.config.credit_life;
        let fresh = || Bucket::new(allowance, epoch, life);
        let bucket = self.buckets.entry(organisation.clone());
        let bucket = bucket.or_insert_with(fresh);
        assert!(
            bucket.epoch <= epoch.number,
            "an epoch is used after a later one"
        );
        if bucket.epoch != epoch.number {
            *bucket = fresh();
        }
        if bucket.allowance != allowance {
            bucket.change_allowance(now, allowance, life);
        }
        let due = bucket.due_at(now);
        let needed = due.since(now);
        if needed > max_wait {
            return Reservation::Refused { needed };
        }
        bucket.take(due);
        Reservation::DueAt(due)
    }
}
