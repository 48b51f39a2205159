//! Guards against requests that are lost because a stage endpoint is silent for a while: its answer
//! still comes, so nothing is given up for its silence.

mod users_platform;

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;
use users_platform::Fleet;
use users_platform::backend::{Backend, EVENTS, Kind};
use users_platform::caller::request;

struct Case {
    name: &'static str,
    /// Service whose endpoints fall silent.
    service: &'static str,
    /// Number of endpoints of that service that are added to the one of the fixture.
    added: usize,
    /// Number of endpoints of that service that fall silent.
    silent: usize,
    requests: usize,
    silence: Duration,
}

const CASES: [Case; 5] = [
    Case {
        name: "the only endpoint of a stage",
        service: "first",
        added: 0,
        silent: 1,
        requests: 1,
        silence: Duration::from_millis(3_500),
    },
    Case {
        name: "the only endpoint of a later stage",
        service: "second",
        added: 0,
        silent: 1,
        requests: 1,
        silence: Duration::from_millis(2_200),
    },
    Case {
        name: "all endpoints of a stage, under more jobs than may be retried",
        service: "first",
        added: 5,
        silent: 6,
        requests: 60,
        silence: Duration::from_millis(2_200),
    },
    Case {
        name: "all endpoints of a later stage, under more jobs than may be retried",
        service: "second",
        added: 5,
        silent: 6,
        requests: 60,
        silence: Duration::from_millis(2_200),
    },
    Case {
        name: "one of two endpoints",
        service: "first",
        added: 1,
        silent: 1,
        requests: 12,
        silence: Duration::from_millis(2_200),
    },
];

/// Runs the requests of a case, and returns those that were not answered whole.
async fn run(case: &Case) -> Vec<String> {
    let mut fleet = Fleet::start(1).await;
    for _ in 0..case.added {
        fleet.add_backend(case.service, Kind::Stage).await;
    }
    // The VM learns of the added endpoints, and of the memory of all.
    sleep(Duration::from_secs(1)).await;
    let vm = fleet.vms[0].caller_address();
    let warm_up = request(vm, "/stream/x", "warm-up", "key-1").await;
    expect_that!(warm_up.is_some_and(|answer| answer.is_complete), eq(true));
    let backends: Vec<&Backend> = fleet.backends_of(case.service).collect();
    if case.service == "lm" {
        backends.iter().for_each(|engine| engine.require_inputs());
    }
    for backend in backends.iter().take(case.silent) {
        backend.fall_silent(case.silence);
    }
    let callers = (0..case.requests).map(|number| async move {
        let id = format!("r-{number}");
        let answer = request(vm, "/stream/x", &id, "key-1").await;
        let whole: String = (0..EVENTS)
            .map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n"))
            .collect();
        let is_whole = answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.body == whole);
        (!is_whole).then(|| format!("{id}: {answer:?}"))
    });
    let lost = join_all(callers).await.into_iter().flatten().collect();
    // Results that a late answer brings twice are freed, too.
    sleep(Duration::from_millis(500)).await;
    for backend in &backends {
        expect_that!(backend.unfreed_results(), eq(0), "{}", case.name);
    }
    expect_that!(
        fleet.vms[0].log(),
        not(contains_substring("crashes: an engine ended")),
        "{}",
        case.name
    );
    lost
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stage_endpoint_loses_no_request() {
    for case in &CASES {
        let lost = run(case).await;
        expect_that!(lost, is_empty(), "{}: {} lost", case.name, lost.len());
    }
}

/// Guards against stage results that are freed before a silent engine has read them: it refuses the request
/// then.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stage_results_are_kept_until_a_silent_engine_has_read_them() {
    let case = Case {
        name: "all engines",
        service: "lm",
        added: 0,
        silent: 2,
        requests: 40,
        silence: Duration::from_millis(1_200),
    };
    let lost = run(&case).await;
    expect_that!(lost, is_empty(), "{}: {} lost", case.name, lost.len());
}
