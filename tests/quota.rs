//! Guards the arithmetic of rate and burst, and the rules of configuration versions.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::decisions::config_version::{ConfigVersion, FreshnessConfig};
use primrosewalk::decisions::membership::OwnershipEpoch;
use primrosewalk::decisions::quota::{Allowance, Quota, QuotaConfig, Reservation};
use primrosewalk::units::{Burst, RatePerSecond, Time, Version};

fn allowance(rate: f64, burst: u32) -> Allowance {
    Allowance {
        rate: RatePerSecond(rate),
        burst: Burst(burst),
    }
}

fn epoch(number: u64, since_millis: u64) -> OwnershipEpoch {
    OwnershipEpoch {
        number,
        since: Time::from_millis(since_millis),
        until: Time::from_millis(u64::MAX / 1_000),
    }
}

struct DueCase {
    name: &'static str,
    rate: f64,
    burst: u32,
    /// Time of all reservations.
    ask_at_ms: u64,
    /// When the token of each reservation in turn is due.
    due_ms: &'static [u64],
}

#[gtest]
fn tokens_come_at_the_rate_with_the_reduced_burst() {
    // Ownership epochs start at 0 ms; the credit life is 50 ms.
    let cases = [
        DueCase {
            name: "a new epoch starts without tokens",
            rate: 10.0,
            burst: 5,
            ask_at_ms: 0,
            due_ms: &[100, 200, 300],
        },
        // Burst 1 less the 0.1 tokens of one credit life leaves 0.9: the interval between tokens is
        // 1.1 times as long.
        DueCase {
            name: "rate 2, burst 1",
            rate: 2.0,
            burst: 1,
            ask_at_ms: 0,
            due_ms: &[550, 1_100],
        },
        DueCase {
            name: "burst 1, idle",
            rate: 2.0,
            burst: 1,
            ask_at_ms: 60_000,
            due_ms: &[60_000, 60_550],
        },
        // Burst 4 less the 0.5 tokens of one credit life: three tokens at once, the fourth after half
        // an interval.
        DueCase {
            name: "burst 4, idle",
            rate: 10.0,
            burst: 4,
            ask_at_ms: 60_000,
            due_ms: &[60_000, 60_000, 60_000, 60_050, 60_150],
        },
    ];
    for case in cases {
        let mut quota = Quota::new(QuotaConfig::default());
        let organisation = "o".parse().unwrap();
        let now = Time::from_millis(case.ask_at_ms);
        for due_ms in case.due_ms {
            let reservation = quota.reserve(
                now,
                &organisation,
                allowance(case.rate, case.burst),
                epoch(1, 0),
                Duration::from_secs(60),
            );
            let due = Reservation::DueAt(Time::from_millis(*due_ms));
            expect_that!(reservation, eq(due), "{}", case.name);
        }
    }
}

#[gtest]
fn a_refused_reservation_takes_nothing_and_a_new_epoch_starts_empty() {
    let mut quota = Quota::new(QuotaConfig::default());
    let organisation = "o".parse().unwrap();
    let mut reserve = |at_ms, number, since_ms, wait_ms| {
        quota.reserve(
            Time::from_millis(at_ms),
            &organisation,
            allowance(10.0, 2),
            epoch(number, since_ms),
            Duration::from_millis(wait_ms),
        )
    };
    let due = |at_ms| Reservation::DueAt(Time::from_millis(at_ms));
    let needed = Duration::from_millis(100);
    expect_that!(reserve(0, 1, 0, 99), eq(Reservation::Refused { needed }));
    expect_that!(reserve(0, 1, 0, 100), eq(due(100)));
    expect_that!(reserve(100, 1, 0, 100), eq(due(200)));
    expect_that!(reserve(10_000, 2, 10_000, 500), eq(due(10_100)));
}

#[gtest]
fn a_changed_allowance_keeps_the_debt_of_earlier_reservations() {
    let mut quota = Quota::new(QuotaConfig::default());
    let organisation = "o".parse().unwrap();
    let mut reserve = |at_ms, allowance| {
        let now = Time::from_millis(at_ms);
        let wait = Duration::from_secs(10);
        quota.reserve(now, &organisation, allowance, epoch(1, 0), wait)
    };
    let due = |at_ms| Reservation::DueAt(Time::from_millis(at_ms));
    // The token that was reserved in advance at the old rate is still owed at the new rate.
    expect_that!(reserve(0, allowance(1.0, 2)), eq(due(1_000)));
    expect_that!(reserve(0, allowance(2.0, 2)), eq(due(1_000)));
    expect_that!(reserve(0, allowance(2.0, 2)), eq(due(1_500)));
}

#[gtest]
fn versions_never_decrease_and_outdated_ones_become_stale() {
    let mut config = ConfigVersion::new(FreshnessConfig::default());
    let at = Time::from_millis;
    expect_that!(config.api_keys_fresh_until(Time::ZERO), eq(Time::ZERO));
    expect_that!(config.accept(Version(3)), eq(true));
    expect_that!(config.accept(Version(2)), eq(false));
    expect_that!(config.newest(), eq(Version(3)));
    config.confirm(at(1_000), Version(3));
    config.confirm(at(2_000), Version(2));
    expect_that!(config.api_keys_fresh_until(Time::ZERO), eq(at(5_000)));
    expect_that!(config.api_keys_fresh_until(at(9_000)), eq(at(9_000)));
    // A newer version is known but cannot be fetched, so the lease keeps the old one fresh only for
    // a limited time.
    config.on_peer_version(at(3_000), Version(4));
    config.confirm(at(4_000), Version(4));
    expect_that!(config.api_keys_fresh_until(at(9_000)), eq(at(7_000)));
    expect_that!(config.accept(Version(4)), eq(true));
    expect_that!(config.api_keys_fresh_until(Time::ZERO), eq(at(8_000)));
    // A newer manifest that fails validation does not make the one in force stale.
    config.confirm(at(6_000), Version(5));
    config.refuse(Version(5));
    expect_that!(config.should_fetch(Version(5)), eq(false));
    expect_that!(config.api_keys_fresh_until(Time::ZERO), eq(at(10_000)));
    expect_that!(config.newest(), eq(Version(4)));
}
