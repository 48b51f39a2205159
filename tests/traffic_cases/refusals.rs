//! Tests of refusals: bad input, stale configuration, missing rate tokens and missing grants.

use std::time::Duration;

use googletest::prelude::*;
use primrosewalk::blackboard::{AcquireOutcome, ControlCommand};
use primrosewalk::clock;
use primrosewalk::units::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::traffic_fixture::endpoint::{FakeEndpoint, OK};
use crate::traffic_fixture::*;

/// Request that must be refused, with the status, code and outcome of the refusal.
#[derive(Debug)]
struct BadInput {
    pipeline: &'static str,
    headers: Headers<'static>,
    body: &'static str,
    expected: &'static str,
}

/// Request id of a VM that is not in the VM list.
const ID_OF_UNLISTED_VM: &str = "vm-9.00000000000000ab.1a.2.00000000000000aa";
/// Valid JSON that is longer than the body limit of 64 bytes.
const LONG_BODY: &str =
    "\"0123456789012345678901234567890123456789012345678901234567890123456789\"";
const ZERO_DEADLINE: Headers<'_> = &[("x-key", API_KEY), ("x-deadline-ms", "0")];
const BAD_DEADLINE: Headers<'_> = &[("x-key", API_KEY), ("x-deadline-ms", "soon")];
const UNKNOWN_KEY: Headers<'_> = &[("x-key", "nobody's")];
const BAD_KEY_AND_VM: Headers<'_> = &[("x-key", "nobody's"), ("x-request-id", ID_OF_UNLISTED_VM)];
const BAD_ID: Headers<'_> = &[("x-key", API_KEY), ("x-request-id", "1")];
/// Request id of this VM's current incarnation that the VM did not issue.
const FORGED_ID: Headers<'_> = &[
    ("x-key", API_KEY),
    (
        "x-request-id",
        "vm-1.00000000000000ab.1a.2.00000000000000aa",
    ),
];
/// Request id of an earlier incarnation of this VM.
const EARLIER_ID: Headers<'_> = &[
    ("x-key", API_KEY),
    (
        "x-request-id",
        "vm-1.00000000000000aa.1a.2.00000000000000aa",
    ),
];
const UNLISTED_VM: Headers<'_> = &[("x-key", API_KEY), ("x-request-id", ID_OF_UNLISTED_VM)];

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
    bad("simple", UNKNOWN_KEY, "{}", "401 unknown_key not_run"),
    bad("nothing", WITH_KEY, "{}", "404 unknown_pipeline not_run"),
    bad("simple", WITH_KEY, "{\"a\":", "400 malformed_body not_run"),
    bad("simple", WITH_KEY, LONG_BODY, "413 body_too_large not_run"),
    bad("simple", ZERO_DEADLINE, "{}", "504 deadline_passed not_run"),
    bad("simple", BAD_DEADLINE, "{}", "400 malformed_body not_run"),
    bad("payout", WITH_KEY, "{}", "400 request_id_required not_run"),
    bad("payout", BAD_ID, "{}", "400 invalid_request_id not_run"),
    bad("payout", FORGED_ID, "{}", "400 invalid_request_id not_run"),
    bad("payout", EARLIER_ID, "{}", "502 outcome_unknown unknown"),
    bad("payout", UNLISTED_VM, "{}", "502 outcome_unknown unknown"),
    bad("payout", BAD_KEY_AND_VM, "{}", "401 unknown_key unknown"),
];

/// A bad request must not reach an endpoint, and its refusal must state the right outcome (P7).
#[gtest]
#[tokio::test]
async fn bad_inputs_get_typed_refusals_and_reach_no_endpoint() {
    let first = FakeEndpoint::start(&[OK]).await;
    let pay = FakeEndpoint::start(&[OK]).await;
    let mut setup = Setup::new(vec![("first", first.clone()), ("pay", pay.clone())]);
    setup.config.body_limit_bytes = 64;
    let vm = Vm::start(setup).await;
    for case in BAD_INPUTS {
        let path = format!("/v1/pipelines/{}", case.pipeline);
        let reply = send(vm.caller, "POST", &path, case.headers, case.body).await;
        expect_that!(reply.refusal(), eq(&case.expected), "{case:?}");
    }
    expect_that!(first.requests().len() + pay.requests().len(), eq(0));
    expect_that!(*vm.acquire_count.lock().unwrap(), eq(0));
}

/// A caller that reads only after it has written its complete body must still get the refusal.
#[gtest]
#[tokio::test]
async fn refusal_of_a_large_body_gets_through() {
    let vm = Vm::start(Setup::new(vec![(
        "first",
        FakeEndpoint::start(&[OK]).await,
    )]))
    .await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    // A large send buffer would take the complete body although the VM doesn't read it.
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

/// A caller that stops sending in the middle of its body must not keep the connection open
/// without limit.
#[gtest]
#[tokio::test]
async fn slow_writing_client_is_refused() {
    let mut setup = Setup::new(vec![("first", FakeEndpoint::start(&[OK]).await)]);
    setup.config.body_read_timeout = Duration::from_millis(50);
    let vm = Vm::start(setup).await;
    let mut stream = tokio::net::TcpStream::connect(vm.caller).await.unwrap();
    let head = format!(
        "POST /v1/pipelines/simple HTTP/1.1\r\nhost: vm\r\nx-key: {API_KEY}\r\n\
         content-length: 10\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut answer));
    let length = read
        .await
        .expect("the VM sent no answer within the timeout")
        .unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(answer, contains_substring("body_timeout"));
}

/// Requests with an API key must be refused while the configuration is not confirmed as current
/// (section 3.2 of the design). Requests to open pipelines go on.
#[gtest]
#[tokio::test]
async fn stale_configuration_refuses_keyed_requests() {
    let vm = Vm::start(Setup::new(vec![(
        "first",
        FakeEndpoint::start(&[OK]).await,
    )]))
    .await;
    vm.publish(|snapshot| snapshot.api_keys_fresh_until = clock::now());
    let reply = run(&vm, "simple", &[], "{}").await;
    let expected = "503 stale_configuration not_run";
    expect_that!(reply.refusal(), eq(expected));
    let open = send(vm.caller, "POST", "/v1/pipelines/open", &[], "{}").await;
    expect_that!(open.status, eq(200));
}

/// After a refusal with "not run", later requests with the same id must not run either (P7).
#[gtest]
#[tokio::test]
async fn refused_id_never_runs_later() {
    let pay = FakeEndpoint::start(&[OK]).await;
    let vm = Vm::start(Setup::new(vec![("pay", pay.clone())])).await;
    let id = vm.issue_request_id().await;
    let expected = "400 malformed_body not_run";
    for body in ["{", "{}"] {
        let reply = run(&vm, "payout", &[("x-request-id", &id)], body).await;
        expect_that!(reply.refusal(), eq(expected));
    }
    expect_that!(pay.requests().len(), eq(0));
}

struct QuotaCase {
    acquire_outcomes: Vec<AcquireOutcome>,
    expected: &'static str,
    acquire_count: u32,
}

/// Rate tokens that arrive after they expired must not be used but requested again, and refusals
/// by the owner of the quota must be passed on to the caller (P5, P7).
#[gtest]
#[tokio::test]
async fn tokens_are_used_in_time_or_requested_again() {
    let expired = AcquireOutcome::Granted {
        usable_until: Time::ZERO,
    };
    let cases = [
        QuotaCase {
            acquire_outcomes: vec![expired],
            expected: "200  ",
            acquire_count: 2,
        },
        QuotaCase {
            acquire_outcomes: vec![AcquireOutcome::RateExceeded],
            expected: "429 rate_exceeded not_run",
            acquire_count: 1,
        },
        QuotaCase {
            acquire_outcomes: vec![AcquireOutcome::Unavailable],
            expected: "503 quota_unavailable not_run",
            acquire_count: 1,
        },
    ];
    for case in cases {
        let mut setup = Setup::new(vec![("first", FakeEndpoint::start(&[OK]).await)]);
        setup.acquire_outcomes = case.acquire_outcomes;
        let vm = Vm::start(setup).await;
        let reply = run(&vm, "simple", &[], "{}").await;
        expect_that!(reply.refusal(), eq(&case.expected));
        expect_that!(*vm.acquire_count.lock().unwrap(), eq(case.acquire_count));
    }
}

/// Without a grant no attempt may start, and the waiting request must be reported to the control
/// part at once (P2).
#[gtest]
#[tokio::test]
async fn request_without_a_grant_waits_and_is_reported() {
    let first = FakeEndpoint::start(&[OK]).await;
    let mut setup = Setup::new(vec![("first", first.clone())]);
    setup.granted_slots = 0;
    let vm = Vm::start(setup).await;
    let reply = run(&vm, "simple", &[("x-deadline-ms", "300")], "{}").await;
    // The time limit of the stage equals the deadline here, so either may be noticed first.
    let expected = any![
        eq("503 no_capacity not_run"),
        eq("504 deadline_passed not_run")
    ];
    expect_that!(reply.refusal(), expected);
    expect_that!(first.requests().len(), eq(0));
    let reports = vm.reports.lock().unwrap();
    let reports_wait = |report: &ControlCommand| match report {
        ControlCommand::Demand { by_endpoint, .. } => {
            by_endpoint.values().any(|demand| demand.waiting == 1)
        }
        _ => false,
    };
    expect_that!(reports.iter().any(reports_wait), eq(true));
}
