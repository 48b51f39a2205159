//! Guards what a VM learns from a refusal: the limit on retries, circuits, and pauses that endpoints ask for.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::users_platform::Fleet;
use crate::users_platform::backend::RefusalForm;
use crate::{REFUSAL_STATUSES, refuse_late, send, sends_of, set_fault_of};

/// Repeats after such refusals are repeats like any others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_refusals_stay_within_the_budget() {
    const REQUESTS: usize = 160;
    /// `repeat_ratio` and `repeat_reserve` of the fixture's settings.
    const RATIO: f64 = 0.2;
    const RESERVE: f64 = 52.0;
    for status in REFUSAL_STATUSES {
        let fleet = Fleet::start(1).await;
        set_fault_of(&fleet, &["plain"], refuse_late(status, RefusalForm::Signed));
        let ids: Vec<String> = (0..REQUESTS)
            .map(|number| format!("{status}-{number}"))
            .collect();
        for ids in ids.chunks(16) {
            let sends = ids.iter().map(|id| send(&fleet, "/look/x", id));
            for answer in futures::future::join_all(sends).await {
                expect_that!(answer.status, eq(502), "{status}");
            }
        }
        let sends: usize = ids.iter().map(|id| sends_of(&fleet, "plain", id)).sum();
        let allowed = RATIO * REQUESTS as f64 + RESERVE;
        expect_that!((sends - REQUESTS) as f64, le(allowed), "{status}");
    }
}

/// An endpoint that refuses at once looks fast. Payouts must not gather there, since each is lost to its caller.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn payouts_avoid_an_endpoint_that_refuses_what_it_runs() {
    /// Time for which requests that may run once avoid an endpoint after a failure.
    const AVOIDANCE: Duration = Duration::from_secs(3);
    for status in REFUSAL_STATUSES {
        let fleet = Fleet::start(1).await;
        let endpoints: Vec<_> = fleet.backends_of("plain").collect();
        endpoints[0].set_fault(refuse_late(status, RefusalForm::Signed));
        endpoints[0].set_work_time(Duration::ZERO);
        endpoints[1].set_work_time(Duration::from_millis(20));
        let started = Instant::now();
        for number in 0..40 {
            let id = format!("{status}-{number}");
            send(&fleet, "/pay/x", &id).await;
        }
        let refused = endpoints[0].received().len();
        let allowed = 1 + started.elapsed().as_millis() / AVOIDANCE.as_millis();
        expect_that!(refused as u128, le(allowed), "{status}");
    }
}

/// Starts a VM before plain endpoints that run requests and refuse them with a time.
async fn fleet_that_refuses_with_a_time(pause: Duration) -> Fleet {
    let fleet = Fleet::start(1).await;
    for backend in fleet.backends_of("plain") {
        backend.add_header("Retry-After", &pause.as_secs_f64().to_string());
        backend.set_fault(refuse_late(503, RefusalForm::Signed));
    }
    fleet
}

/// A time to come back would invite the caller of a payout to send it again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_payout_that_may_have_run_gets_no_time_to_come_back() {
    let fleet = fleet_that_refuses_with_a_time(Duration::from_secs(5)).await;
    for (number, _) in fleet.backends_of("plain").enumerate() {
        let id = format!("r-{number}");
        let answer = send(&fleet, "/pay/x", &id).await;
        expect_that!(answer.status, eq(502), "{id}");
        expect_that!(answer.retry_after_s, none(), "{id}");
        expect_that!(fleet.runs_of(&id), eq(1), "{id}");
    }
}

/// A 503 names a time until which the endpoint wants nothing, whether or not the request has run. A caller whose
/// repeat would be refused until then is told so.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_refused_with_a_time_gets_nothing_until_then() {
    /// Time of the endpoint, and the part of it after which the rules count.
    const PAUSE: Duration = Duration::from_millis(2_500);
    const SLACK: Duration = Duration::from_millis(500);
    let fleet = fleet_that_refuses_with_a_time(PAUSE).await;
    let refused_at = Instant::now();
    let answer = send(&fleet, "/look/x", "both").await;
    expect_that!(answer.status, eq(502));
    expect_that!(sends_of(&fleet, "plain", "both"), eq(2));
    expect_that!(answer.retry_after_s, some(gt(SLACK.as_secs_f64())));
    while refused_at.elapsed() < PAUSE - SLACK {
        for (number, path) in ["/look/x", "/pay/x"].into_iter().enumerate() {
            let id = format!("paused-{number}-{:?}", refused_at.elapsed());
            let answer = send(&fleet, path, &id).await;
            expect_that!(answer.status, eq(503), "{id}");
            expect_that!(answer.retry_after_s, some(gt(0.0)), "{id}");
            expect_that!(sends_of(&fleet, "plain", &id), eq(0), "{id}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
