//! Tests of stages: retries, slots, streams and the order of stages.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use googletest::prelude::*;
use primrosewalk::blackboard::{ControlCommand, Snapshot};
use primrosewalk::clock;
use primrosewalk::decisions::circuit::CircuitConfig;
use primrosewalk::decisions::slots::SlotsConfig;
use primrosewalk::settings::RoutingMode;
use primrosewalk::traffic::TrafficConfig;

use crate::traffic_fixture::endpoint::{FakeEndpoint, OK, Step};
use crate::traffic_fixture::*;

/// An idempotent stage must be retried at another endpoint when one endpoint fails.
#[gtest]
#[tokio::test]
async fn idempotent_stage_is_retried_at_another_endpoint() {
    let failures = [
        Step::Cut,
        Step::Answer("500 Failed", "", "{}"),
        Step::Answer("503 Service Unavailable", "", "{}"),
        Step::Answer("429 Too Many Requests", "", "{}"),
        Step::Answer("408 Request Timeout", "", "{}"),
        Step::Answer("200 OK", "x-attempt-id: another\r\n", r#"{"output":1}"#),
        Step::Answer("200 OK", "", "no JSON"),
    ];
    for failure in failures {
        let first = [
            FakeEndpoint::start(std::slice::from_ref(&failure)).await,
            FakeEndpoint::start(&[OK]).await,
        ];
        let endpoints = vec![("first", first[0].clone()), ("first", first[1].clone())];
        let vm = Vm::start(Setup::new(endpoints)).await;
        let summary = run(&vm, "simple", &[], "{}").await.json();
        let stage = &summary["stages"][0];
        expect_that!(
            stage["endpoint"].as_str(),
            some(eq("first-1")),
            "{failure:?}"
        );
        expect_that!(stage["attempts"].as_u64(), some(eq(2)), "{failure:?}");
        expect_that!(
            (first[0].requests().len(), first[1].requests().len()),
            eq((1, 1))
        );
    }
}

/// Guards against requests that fail when many endpoints turn cold at once: a cold endpoint that
/// refuses says that nothing has run, so the request must wait for a slot again. It is no retry.
#[gtest]
#[tokio::test]
async fn refusals_of_a_cold_endpoint_use_no_retry() {
    let refusal = Step::Answer(
        "503 Service Unavailable",
        "x-state: cold\r\nx-not-run: true\r\n",
        "{}",
    );
    let mut endpoints = Vec::new();
    for _ in 0..4 {
        let endpoint = FakeEndpoint::start(std::slice::from_ref(&refusal)).await;
        endpoints.push(("first", endpoint));
    }
    endpoints.push(("first", FakeEndpoint::start(&[OK]).await));
    let mut setup = Setup::new(endpoints);
    setup.config.retry.reserve = 0.0;
    setup.config.retry.earned_per_request = 0.0;
    let vm = Vm::start(setup).await;
    for _ in 0..8 {
        let reply = run(&vm, "simple", &[], "{}").await;
        expect_that!(reply.status, eq(200), "{}", reply.body);
    }
}

/// A hanging endpoint must be given up early enough for a retry at another endpoint.
#[gtest]
#[tokio::test]
async fn hanging_endpoint_leaves_time_for_a_retry() {
    let hanging = FakeEndpoint::start(&[Step::Wait("{}")]).await;
    let endpoints = vec![
        ("first", hanging.clone()),
        ("first", FakeEndpoint::start(&[OK]).await),
    ];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let reply = run(&vm, "simple", &[("x-deadline-ms", "2000")], "{}").await;
    expect_that!(reply.status, eq(200));
    expect_that!(reply.json()["stages"][0]["attempts"].as_u64(), some(eq(2)));
    hanging.closed_early().await;
}

/// When there are more requests than slots, the others must wait, and each must end (P1, P2).
#[gtest]
#[tokio::test]
async fn waiting_requests_never_exceed_the_grant_and_all_end() {
    let first = FakeEndpoint::start(&[Step::Slow(5)]).await;
    let mut setup = Setup::new(vec![("first", first.clone())]);
    setup.granted_slots = 2;
    let vm = Arc::new(Vm::start(setup).await);
    let runs = (0..24).map(|_| {
        let vm = Arc::clone(&vm);
        tokio::spawn(async move { run(&vm, "simple", &[], "{}").await.status })
    });
    for status in futures::future::join_all(runs).await {
        expect_that!(status.unwrap(), eq(200));
    }
    expect_that!(first.max_concurrent.load(Ordering::SeqCst), le(2));
    let status = vm.status().await;
    expect_that!(status.endpoints[0].in_flight, eq(0));
    expect_that!(status.organisations[0].admitted, eq(24));
}

/// Replay by a second endpoint after the first one streamed "one two" and broke off.
struct BrokenStream {
    replay: &'static [&'static str],
    text: &'static str,
    last: &'static str,
}

/// A replay after a broken stream must neither duplicate tokens nor mix those of different
/// answers (P1, P6).
#[gtest]
#[tokio::test]
async fn broken_stream_is_resumed_only_by_an_identical_replay() {
    let cases = [
        BrokenStream {
            replay: &["one", " two", " three"],
            text: "one two three",
            last: "end",
        },
        BrokenStream {
            replay: &["one tw", "o thr", "ee"],
            text: "one two three",
            last: "end",
        },
        BrokenStream {
            replay: &["one", " too", " three"],
            text: "one two",
            last: "error",
        },
        BrokenStream {
            replay: &["one"],
            text: "one two",
            last: "error",
        },
    ];
    for case in cases {
        let broken = FakeEndpoint::start(&[Step::CutStream(&["one", " two"])]).await;
        let replaying = FakeEndpoint::start(&[Step::Stream(case.replay)]).await;
        let endpoints = vec![("engine", broken), ("engine", replaying)];
        let vm = Vm::start(Setup::new(endpoints)).await;
        let (text, last, data) = read_events(&read_body(stream(&vm, "chat").await).await);
        expect_that!((text.as_str(), last.as_str()), eq((case.text, case.last)));
        if last == "end" {
            expect_that!(data["output"].as_str(), some(eq(case.text)));
        }
    }
}

/// Stages must run in order, each with the output of the previous stage as its input.
#[gtest]
#[tokio::test]
async fn stages_pass_their_output_on() {
    let first = FakeEndpoint::start(&[Step::Answer("200 OK", "", r#"{"output": 1e400}"#)]).await;
    let engine = FakeEndpoint::start(&[Step::Stream(&["hel", "lo"])]).await;
    let endpoints = vec![("first", first.clone()), ("engine", engine.clone())];
    let vm = Vm::start(Setup::new(endpoints)).await;
    let summary = run(&vm, "answer", &[], r#"{"q": "why"}"#).await.json();
    expect_that!(summary["output"].as_str(), some(eq("hello")));
    expect_that!(summary["stages"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(
        first.requests()[0],
        contains_substring(r#""input":{"q": "why"}"#)
    );
    // A number outside the range of floats must arrive as it was sent.
    expect_that!(engine.requests()[0], contains_substring(r#""input":1e400"#));
}

/// A request whose caller left while it waited or ran must release its slot and its place in the
/// queue.
#[gtest]
#[tokio::test]
async fn abandoned_requests_release_their_slots() {
    let first = FakeEndpoint::start(&[Step::Slow(5)]).await;
    let mut setup = Setup::new(vec![("first", first.clone())]);
    setup.granted_slots = 2;
    let vm = Arc::new(Vm::start(setup).await);
    let leave: Vec<_> = (0..40)
        .map(|_| {
            let caller = Arc::clone(&vm);
            spawn_abandonable(async move { run(&caller, "simple", &[], "{}").await })
        })
        .collect();
    first.arrived().await;
    drop(leave);
    wait_until(|| async { vm.status().await.running_requests == 0 }).await;
    expect_that!(vm.status().await.endpoints[0].in_flight, eq(0));
    expect_that!(run(&vm, "simple", &[], "{}").await.status, eq(200));
}

/// Renews all grants as if an allocator had answered a message sent now.
fn renew_grants(snapshot: &mut Snapshot) {
    let life = SlotsConfig::default().grant_life;
    let mut grants = HashMap::clone(&snapshot.grants);
    for grant in grants.values_mut() {
        grant.valid_until = clock::now() + life;
    }
    snapshot.grants = Arc::new(grants);
}

/// The first cold sign must stop new work at the endpoint until the grants change, and must be
/// reported only once, since each further report would restart the ramp (P2).
#[gtest]
#[tokio::test]
async fn cold_start_stops_new_work_and_is_reported_once() {
    let cold = Step::Answer("200 OK", "x-state: cold\r\n", r#"{"output":1}"#);
    let first = FakeEndpoint::start(&[cold]).await;
    let vm = Vm::start(Setup::new(vec![("first", first.clone())])).await;
    vm.publish(renew_grants);
    expect_that!(run(&vm, "simple", &[], "{}").await.status, eq(200));
    let refused = run(&vm, "simple", &[("x-deadline-ms", "100")], "{}").await;
    expect_that!(refused.refusal(), ends_with("not_run"));
    expect_that!(first.requests().len(), eq(1));
    vm.publish(renew_grants);
    expect_that!(run(&vm, "simple", &[], "{}").await.status, eq(200));
    let count = |kind: fn(&ControlCommand) -> bool| {
        let reports = vm.reports.lock().unwrap();
        reports.iter().filter(|report| kind(report)).count()
    };
    let completed = |report: &_| matches!(report, ControlCommand::AttemptCompleted { .. });
    let cold = |report: &_| matches!(report, ControlCommand::EndpointCold { .. });
    wait_until(|| async { count(cold) > 0 }).await;
    // Reports arrive in order, so two further reports show that no second cold sign is pending.
    let report_count = vm.reports.lock().unwrap().len();
    wait_until(|| async { vm.reports.lock().unwrap().len() > report_count + 2 }).await;
    expect_that!(count(cold), eq(1));
    // The capacity of the endpoint must not grow while its answers say that it is cold.
    expect_that!(count(completed), eq(0));
}

/// An engine that doesn't have the model must not be tried by every request. The circuit of the
/// model at this engine opens at the first refusal, and one attempt is allowed after each pause.
#[gtest]
#[tokio::test]
async fn an_engine_without_the_model_is_tried_once_per_pause() {
    let engines = [
        FakeEndpoint::start(&[Step::Answer("404 Not Found", "", "{}")]).await,
        FakeEndpoint::start(&[Step::Stream(&["a"])]).await,
    ];
    let endpoints = engines.iter().map(|engine| ("engine", engine.clone()));
    let vm = Vm::start(Setup::new(endpoints.collect())).await;
    let started = clock::now();
    for _ in 0..8 {
        let answer = run(&vm, "chat", &[], r#"{"prompt":"hello"}"#).await;
        expect_that!(answer.status, eq(200));
    }
    let pause = CircuitConfig::default().initial_pause;
    let pauses = clock::now().since(started).as_millis() / pause.as_millis();
    expect_that!(engines[0].requests().len() as u128, le(1 + pauses));
}

/// The baselines (random routing, no retry budget) must serve requests too, or comparisons with
/// them mean nothing.
#[gtest]
#[tokio::test]
async fn baselines_serve_requests() {
    let mut setup = Setup::new(vec![("first", FakeEndpoint::start(&[OK]).await)]);
    setup.config = TrafficConfig {
        routing_mode: RoutingMode::Random,
        retry_budget_enabled: false,
        ..TrafficConfig::default()
    };
    let vm = Vm::start(setup).await;
    expect_that!(run(&vm, "simple", &[], "{}").await.status, eq(200));
}
