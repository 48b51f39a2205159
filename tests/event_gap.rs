//! Guards against streams whose callers leave with neither an event nor a refusal: a caller leaves when no
//! event has come for a while, which is sooner than its deadline.

mod users_platform;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use users_platform::Fleet;
use users_platform::backend::EVENTS;
use users_platform::caller::{CallerAnswer, request_with};

/// Longest pause with which a stream is on time, as the configuration gives it.
const TARGET_PAUSE_MS: u64 = 250;
/// Time that a caller waits for an event: eight times that pause.
const EVENT_GAP: Duration = Duration::from_millis(8 * TARGET_PAUSE_MS);
/// Deadline of the requests, which is much later than the time at which their callers leave.
const DEADLINE_MS: u64 = 6_000;
/// Number of requests that fill several calls of the only endpoint of a stage.
const QUEUED_REQUESTS: usize = 24;

struct Case {
    name: &'static str,
    path: &'static str,
    has_target_pause: bool,
    requests: usize,
    deadline_ms: u64,
    /// The service whose endpoints are silent from before the requests.
    silent_service: &'static str,
    silence: Duration,
    /// Time that the callers wait for the head of an answer.
    event_gap: Duration,
    status: u16,
}

const SILENT_STAGE: Case = Case {
    name: "a stage queue and a stage call",
    path: "/stream/x",
    has_target_pause: true,
    requests: QUEUED_REQUESTS,
    deadline_ms: DEADLINE_MS,
    silent_service: "first",
    silence: Duration::from_secs(4),
    event_gap: EVENT_GAP,
    status: 503,
};

const CASES: [Case; 7] = [
    SILENT_STAGE,
    Case {
        name: "a later stage",
        silent_service: "second",
        ..SILENT_STAGE
    },
    Case {
        name: "a silent engine, not resumable, whose caller stays",
        path: "/once-stream/x",
        requests: 1,
        silent_service: "lm",
        silence: Duration::from_secs(3),
        event_gap: Duration::from_secs(6),
        status: 200,
        ..SILENT_STAGE
    },
    Case {
        name: "silent engines, resumable, whose caller stays",
        requests: 1,
        silent_service: "lm",
        silence: Duration::from_secs(3),
        event_gap: Duration::from_secs(6),
        status: 200,
        ..SILENT_STAGE
    },
    Case {
        name: "an engine that answers before the caller leaves",
        path: "/once-stream/x",
        requests: 1,
        silent_service: "lm",
        silence: Duration::from_millis(1_200),
        status: 200,
        ..SILENT_STAGE
    },
    Case {
        name: "a deadline before the caller would leave",
        path: "/once-stream/x",
        requests: 1,
        deadline_ms: 1_000,
        silent_service: "lm",
        event_gap: Duration::from_millis(1_400),
        status: 504,
        ..SILENT_STAGE
    },
    Case {
        name: "a route that does not say when its callers leave",
        path: "/once-stream/x",
        has_target_pause: false,
        requests: 1,
        silent_service: "lm",
        silence: Duration::from_secs(3),
        event_gap: Duration::from_secs(6),
        status: 200,
        ..SILENT_STAGE
    },
];

/// Starts a VM whose streaming routes say when their callers leave.
async fn fleet(has_target_pause: bool) -> Fleet {
    let mut fleet = Fleet::prepare(1).await;
    if has_target_pause {
        fleet.change_configuration(|configuration| {
            for route in configuration["Routes"].as_array_mut().unwrap() {
                route["GapTargetMs"] = json!(TARGET_PAUSE_MS);
            }
        });
    }
    fleet.vms[0].start();
    fleet.wait_until_ready().await;
    fleet
}

/// Sends a request whose caller leaves if the head of the answer has not come in time.
async fn patient_request(fleet: &Fleet, case: &Case, id: &str) -> Option<CallerAnswer> {
    let vm = fleet.vms[0].caller_address();
    let body = bytes::Bytes::from_static(b"{}");
    let answer = request_with(vm, case.path, id, "key-1", &[], body, case.deadline_ms);
    timeout(case.event_gap, answer).await.ok().flatten()
}

fn is_expected(case: &Case, answer: &CallerAnswer) -> bool {
    // Only a request that has not run may be refused with 503, and then its caller is told when to return.
    let is_promise = answer.status == 503;
    answer.status == case.status
        && answer.is_complete
        && answer.retry_after_s.is_some() == is_promise
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_has_an_event_or_a_refusal_before_it_leaves() {
    for case in &CASES {
        let fleet = fleet(case.has_target_pause).await;
        for backend in fleet.backends_of(case.silent_service) {
            backend.fall_silent(case.silence);
        }
        let ids: Vec<String> = (0..case.requests).map(|n| format!("r-{n}")).collect();
        let callers = ids.iter().map(|id| patient_request(&fleet, case, id));
        let answers = futures::future::join_all(callers).await;
        let is_wrong = |answer: &Option<CallerAnswer>| {
            !answer
                .as_ref()
                .is_some_and(|answer| is_expected(case, answer))
        };
        let wrong: Vec<_> = answers.into_iter().filter(is_wrong).collect();
        expect_that!(wrong, is_empty(), "{}", case.name);
        if case.silent_service != "lm" {
            let ran = ids.iter().filter(|id| fleet.runs_of(id) > 0).count();
            expect_that!(ran, eq(0), "{}: refused requests ran", case.name);
        }
    }
}

/// Guards against a body that is awaited until the deadline, after its caller has left.
#[gtest]
#[tokio::test]
async fn a_slow_body_is_refused_before_its_caller_leaves() {
    let fleet = fleet(true).await;
    let mut stream = TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let head = format!(
        "POST /once-stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n\
         Authorization: Token key-1\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    let read = timeout(EVENT_GAP, stream.read_exact(&mut answer)).await;
    expect_that!(read, ok(ok(anything())));
    expect_that!(String::from_utf8_lossy(&answer), eq("HTTP/1.1 408"));
}

/// Guards against an engine that stops its work when the caller would leave without an event: a stream may go
/// on for much longer, so the engine gets all the time until the deadline.
#[gtest]
#[tokio::test]
async fn an_engine_has_until_the_deadline() {
    let fleet = fleet(true).await;
    let answer = patient_request(&fleet, &SILENT_STAGE, "r-1").await;
    expect_that!(answer.map(|answer| answer.status), some(eq(200)));
    let mut received = fleet
        .backends_of("lm")
        .flat_map(|backend| backend.received());
    let request = received.find(|request| request.id == "r-1").unwrap();
    let deadline_ms: u64 = request.header("deadline-ms").unwrap().parse().unwrap();
    expect_that!(deadline_ms, gt(DEADLINE_MS - 1_000));
}

/// Guards against a replacement that is begun in the middle of a stream after its caller would have left. The
/// silence of the engine does not end the stream, since the caller may have stayed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_engine_replaces_a_silent_one_after_the_caller_would_have_left() {
    const SILENCE: Duration = Duration::from_secs(4);
    let fleet = fleet(true).await;
    let engines: Vec<usize> = (0..fleet.backends.len())
        .filter(|number| fleet.backends[*number].service == "lm")
        .collect();
    fleet.list_backend(engines[1], "draining");
    sleep(Duration::from_secs(1)).await;
    let engine = &fleet.backends[engines[0]];
    engine.set_work_time(Duration::from_millis(150));
    let started = Instant::now();
    let disturb = async {
        sleep(Duration::from_millis(600)).await;
        engine.fall_silent(SILENCE);
        sleep(EVENT_GAP).await;
        fleet.list_backend(engines[1], "ready");
    };
    let vm = fleet.vms[0].caller_address();
    let body = bytes::Bytes::from_static(b"{}");
    let answer = request_with(vm, "/stream/x", "r-1", "key-1", &[], body, 8_000);
    let (answer, ()) = tokio::join!(answer, disturb);
    let events: String = (0..EVENTS)
        .map(|event| format!("id: {event}\ndata: piece {event} of r-1\n\n"))
        .collect();
    expect_that!(answer.map(|answer| answer.body), some(eq(&events)));
    expect_that!(started.elapsed(), gt(SILENCE));
    expect_that!(fleet.runs_of("r-1"), eq(1));
}
