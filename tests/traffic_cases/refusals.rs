//! Refusals: bad input, stale configuration, tokens and grants.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::{AcquireOutcome, ControlCommand};
use primrosewalk::clock;
use primrosewalk::units::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::traffic_fixture::endpoint::{Fake, OK};
use crate::traffic_fixture::*;

#[derive(Debug)]
struct BadInput {
    pipeline: &'static str,
    headers: Headers<'static>,
    body: &'static str,
    expected: &'static str,
}

const ID_OF_GONE_VM: &str = "vm-9.00000000000000ab.1a.2.00000000000000aa";
const LONG: &str = "\"0123456789012345678901234567890123456789012345678901234567890123456789\"";
const NO_TIME: Headers<'_> = &[("x-key", KEY), ("x-deadline-ms", "0")];
const BAD_TIME: Headers<'_> = &[("x-key", KEY), ("x-deadline-ms", "soon")];
const BAD_KEY: Headers<'_> = &[("x-key", "nobody's")];
const BAD_KEY_GONE: Headers<'_> = &[("x-key", "nobody's"), ("x-request-id", ID_OF_GONE_VM)];
const BAD_ID: Headers<'_> = &[("x-key", KEY), ("x-request-id", "1")];
const FORGED: Headers<'_> = &[
    ("x-key", KEY),
    (
        "x-request-id",
        "vm-1.00000000000000ab.1a.2.00000000000000aa",
    ),
];
const EARLIER: Headers<'_> = &[
    ("x-key", KEY),
    (
        "x-request-id",
        "vm-1.00000000000000aa.1a.2.00000000000000aa",
    ),
];
const GONE: Headers<'_> = &[("x-key", KEY), ("x-request-id", ID_OF_GONE_VM)];

const fn bad(
    pipeline: &'static str,
    headers: Headers<'static>,
    body: &'static str,
    expected: &'static str,
) -> BadInput {
    BadInput {
        pipeline,
        headers,
        body,
        expected,
    }
}

const BAD_INPUTS: &[BadInput] = &[
    bad("simple", &[], "{}", "401 unknown_key not_run"),
    bad("simple", BAD_KEY, "{}", "401 unknown_key not_run"),
    bad("nothing", WITH_KEY, "{}", "404 unknown_pipeline not_run"),
    bad("simple", WITH_KEY, "{\"a\":", "400 malformed_body not_run"),
    bad("simple", WITH_KEY, LONG, "413 body_too_large not_run"),
    bad("simple", NO_TIME, "{}", "504 deadline_passed not_run"),
    bad("simple", BAD_TIME, "{}", "400 malformed_body not_run"),
    bad("payout", WITH_KEY, "{}", "400 request_id_required not_run"),
    bad("payout", BAD_ID, "{}", "400 invalid_request_id not_run"),
    bad("payout", FORGED, "{}", "400 invalid_request_id not_run"),
    bad("payout", EARLIER, "{}", "502 outcome_unknown unknown"),
    bad("payout", GONE, "{}", "502 outcome_unknown unknown"),
    bad("payout", BAD_KEY_GONE, "{}", "401 unknown_key unknown"),
];

/// A bad input must neither reach an endpoint nor be refused with the wrong outcome (P7).
#[gtest]
#[tokio::test]
async fn bad_inputs_get_typed_refusals_and_reach_no_endpoint() {
    let first = Fake::start(&[OK]).await;
    let pay = Fake::start(&[OK]).await;
    let mut setup = Setup::new(vec![("first", first.clone()), ("pay", pay.clone())]);
    setup.config.body_limit_bytes = 64;
    let vm = Vm::start(setup).await;
    for case in BAD_INPUTS {
        let path = format!("/v1/pipelines/{}", case.pipeline);
        let reply = send(vm.caller, "POST", &path, case.headers, case.body).await;
        expect_that!(reply.refusal(), eq(&case.expected), "{case:?}");
    }
    expect_that!(first.seen().len() + pay.seen().len(), eq(0));
    expect_that!(*vm.asked.lock().unwrap(), eq(0));
}

/// A caller that reads only after it wrote all must still get its refusal.
#[gtest]
#[tokio::test]
async fn refusal_of_a_large_body_gets_through() {
    let vm = Vm::start(Setup::new(vec![("first", Fake::start(&[OK]).await)])).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    // A large buffer would take the whole body although nobody reads it.
    socket.set_send_buffer_size(128 * 1024).unwrap();
    let mut stream = socket.connect(vm.caller).await.unwrap();
    let mut request = b"POST /v1/pipelines/simple HTTP/1.1\r\nhost: vm\r\nx-key: nobody's\r\n\
        content-length: 3000000\r\n\r\n"
        .to_vec();
    request.resize(request.len() + 3_000_000, b' ');
    stream.write_all(&request).await.unwrap();
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.unwrap();
    expect_that!(answer[..length].starts_with(b"HTTP/1.1 401"), eq(true));
}

/// A caller that stops in the middle of its body must not hold the connection for ever.
#[gtest]
#[tokio::test]
async fn slow_writing_client_is_refused() {
    let mut setup = Setup::new(vec![("first", Fake::start(&[OK]).await)]);
    setup.config.body_read_timeout = Duration::from_millis(50);
    let vm = Vm::start(setup).await;
    let mut stream = tokio::net::TcpStream::connect(vm.caller).await.unwrap();
    let head = format!(
        "POST /v1/pipelines/simple HTTP/1.1\r\nhost: vm\r\nx-key: {KEY}\r\n\
         content-length: 10\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(PATIENCE, stream.read(&mut answer));
    let length = read.await.expect("an answer in time").unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(answer, contains_substring("body_timeout"));
}

/// A configuration that nobody confirms must not let keys through (3.2).
#[gtest]
#[tokio::test]
async fn stale_configuration_refuses_keyed_requests() {
    let vm = Vm::start(Setup::new(vec![("first", Fake::start(&[OK]).await)])).await;
    vm.publish(|snapshot| snapshot.api_keys_fresh_until = clock::now());
    let reply = run(&vm, "simple", &[], "{}").await;
    let expected = "503 stale_configuration not_run";
    expect_that!(reply.refusal(), eq(expected));
    let open = send(vm.caller, "POST", "/v1/pipelines/open", &[], "{}").await;
    expect_that!(open.status, eq(200));
}

/// A refusal that says "not run" must hold for late copies with the same id (P7).
#[gtest]
#[tokio::test]
async fn refused_id_never_runs_later() {
    let pay = Fake::start(&[OK]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_id().await;
    let expected = "400 malformed_body not_run";
    for body in ["{", "{}"] {
        let reply = run(&vm, "payout", &[("x-request-id", &id)], body).await;
        expect_that!(reply.refusal(), eq(expected));
    }
    expect_that!(pay.seen().len(), eq(0));
}

struct QuotaCase {
    outcomes: Vec<AcquireOutcome>,
    expected: &'static str,
    asked: u32,
}

/// A late credit must not be used, and refusals of the owner must be passed on (P5, P7).
#[gtest]
#[tokio::test]
async fn tokens_are_used_in_time_or_asked_for_again() {
    let late = AcquireOutcome::Granted {
        usable_until: Time::ZERO,
    };
    let cases = [
        QuotaCase {
            outcomes: vec![late],
            expected: "200  ",
            asked: 2,
        },
        QuotaCase {
            outcomes: vec![AcquireOutcome::RateExceeded],
            expected: "429 rate_exceeded not_run",
            asked: 1,
        },
        QuotaCase {
            outcomes: vec![AcquireOutcome::Unavailable],
            expected: "503 quota_unavailable not_run",
            asked: 1,
        },
    ];
    for case in cases {
        let mut setup = Setup::new(vec![("first", Fake::start(&[OK]).await)]);
        setup.outcomes = case.outcomes;
        let vm = Vm::start(setup).await;
        let reply = run(&vm, "simple", &[], "{}").await;
        expect_that!(reply.refusal(), eq(&case.expected));
        expect_that!(*vm.asked.lock().unwrap(), eq(case.asked));
    }
}

/// Without a grant nothing may start, and the wait must be reported at once (P2).
#[gtest]
#[tokio::test]
async fn request_without_a_grant_waits_and_is_reported() {
    let first = Fake::start(&[OK]).await;
    let mut setup = Setup::new(vec![("first", first.clone())]);
    setup.granted_slots = 0;
    let vm = Vm::start(setup).await;
    let reply = run(&vm, "simple", &[("x-deadline-ms", "300")], "{}").await;
    // The stage's time is the whole deadline here, so either limit may be noticed first.
    let expected = any![
        eq("503 no_capacity not_run"),
        eq("504 deadline_passed not_run")
    ];
    expect_that!(reply.refusal(), expected);
    expect_that!(first.seen().len(), eq(0));
    let reports = vm.reports.lock().unwrap();
    let waits = |report: &ControlCommand| match report {
        ControlCommand::Demand { by_endpoint, .. } => {
            by_endpoint.values().any(|demand| demand.waiting == 1)
        }
        _ => false,
    };
    expect_that!(reports.iter().any(waits), eq(true));
}
